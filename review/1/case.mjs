/**
 * An instance spoils a byte of the header of some of its answers. The clients on its machine must go on
 * getting the answers that sound instances make for them.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { startInstance, writeSpoiledAnswer } from "../lib/instance.mjs";
import {
  createAgent,
  createConfiguration,
  isTroubled,
  main,
  send,
  sleep,
  STABLE_MS,
  VIRTUAL_HOST,
  withMesh,
} from "../lib/mesh.mjs";

const PLAY_MS = 20_000;
const CLIENTS = 24;
/** The dose of `garble` in the site file. */
const SPOILED_SHARE = 0.02;
const RESTART_DELAY_MS = 500;
/** The rule allows three. */
const ALLOWED_LOSSES = 3;

main(
  dirname(fileURLToPath(import.meta.url)),
  (record) =>
    withMesh(async ({ store, startDaemon, onEnd }) => {
      store.write(
        "keyed.op",
        "config",
        createConfiguration(1, [
          {
            name: "heat-lookup",
            kind: "safe",
            goal_s: 0.4,
            timeout_s: 1,
            prefix: "/heat/",
            service: "bib",
          },
          {
            name: "finish-photos",
            kind: "upload",
            goal_s: 0.5,
            timeout_s: 1.2,
            prefix: "/photos/",
            service: "results",
          },
        ]),
      );
      const services = ["bib", "bib", "bib", "results", "results"];
      const daemons = [];
      for (const [index, service] of services.entries()) {
        daemons.push(
          await startDaemon({
            host: `sidecar-${index}`,
            zone: "sagana",
            service,
          }),
        );
      }
      /** The identities of the requests that sound instances have run. */
      const runsAtSound = new Set();
      let spoiled = 0;
      let isOver = false;
      for (const [index, daemon] of daemons.entries()) {
        await daemon.waitUntilReady();
        const identity = `i-${index}`;
        const isFaulty = index === 0;
        const instance = await startInstance({
          identity,
          service: services[index],
          zone: "sagana",
          control: daemon.control,
          work: () => 60 + Math.random() * 160,
          onRun({ id }) {
            record.write(`run ${id} at ${identity}`);
            if (!isFaulty) {
              runsAtSound.add(id);
            }
          },
          answer({ id, request }) {
            if (!isTroubled || !isFaulty || Math.random() >= SPOILED_SHARE) {
              return false;
            }
            spoiled += 1;
            record.write(`${identity} spoils its answer to ${id}`);
            writeSpoiledAnswer(request.socket, { id, identity });
            return true;
          },
        });
        onEnd(() => instance.close());
      }
      await sleep(STABLE_MS);
      // The platform starts a process that has ended again after a short delay.
      let startedAt = Date.now() - STABLE_MS;
      const restart = () =>
        daemons[0].ended.then(async () => {
          if (!isOver) {
            record.write("the daemon sidecar-0 has ended by itself");
            await sleep(RESTART_DELAY_MS);
            daemons[0].start();
            startedAt = Date.now();
            restart();
          }
        });
      restart();
      const lost = [];
      let count = 0;
      const end = Date.now() + PLAY_MS;
      async function runClient(number) {
        let agent = createAgent();
        let isKept = false;
        while (Date.now() < end) {
          count += 1;
          const id = `client-${number}-${count}`;
          const isUpload = number % 3 !== 0;
          const isInTouch = Date.now() >= startedAt + STABLE_MS;
          const result = await send(daemons[0].outbound, {
            method: isUpload ? "POST" : "GET",
            path: isUpload ? "/photos/x" : "/heat/x",
            agent,
            headers: {
              host: VIRTUAL_HOST,
              "x-attempt-id": id,
              "x-deadline-ms": isUpload ? "1200" : "1000",
            },
            ...(isUpload ? { body: Buffer.alloc(60_000, "p") } : {}),
            timeout: 3_000,
          });
          record.write(
            `answer ${id} ${result.status} ${result.why ?? ""} ${
              isKept ? "kept" : "new"
            }`,
          );
          if (result.status === 0) {
            if (isInTouch && isKept && runsAtSound.has(id)) {
              lost.push(id);
            }
            agent.destroy();
            agent = createAgent();
            await sleep(200);
          }
          isKept = result.status === 200;
          await sleep(20);
        }
        agent.destroy();
      }
      await Promise.all(
        Array.from({ length: CLIENTS }, (_, number) => runClient(number)),
      );
      isOver = true;
      const summary =
        `${count} requests, ${spoiled} answers spoiled; the daemon ended ${
          daemons[0].exits.length
        } times by itself; ` +
        `${lost.length} requests of kept connections ran at sound instances and got no answer, on a machine in touch`;
      record.write(summary);
      console.log(summary);
      return lost.length > ALLOWED_LOSSES;
    }),
);
