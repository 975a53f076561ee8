/**
 * An instance spoils a byte of the header of some of its answers. The clients of another machine must get
 * a final answer by the time-out of the route.
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

const PLAY_MS = 30_000;
const CLIENTS = 30;
/** The dose of `garble` in the site file. */
const SPOILED_SHARE = 0.02;
const TIMEOUT_MS = 1_200;
/** The rule counts requests without an answer this long after the time-out of their route. */
const SLACK_MS = 500;
const GIVE_UP_MS = 5_000;
/** The rule needs at least this many requests that last longer than the time-out. */
const MINIMUM_REQUESTS = 8;

main(
  dirname(fileURLToPath(import.meta.url)),
  (record) =>
    withMesh(async ({ store, startDaemon, onEnd }) => {
      store.write(
        "keyed.op",
        "config",
        createConfiguration(1, [{
          name: "finish-photos",
          kind: "upload",
          goal_s: 0.5,
          timeout_s: TIMEOUT_MS / 1_000,
          prefix: "/photos/",
          service: "results",
        }]),
      );
      const services = ["bib", "results", "results", "results"];
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
      let spoiled = 0;
      for (const [index, daemon] of daemons.entries()) {
        await daemon.waitUntilReady();
        const identity = `i-${index}`;
        const instance = await startInstance({
          identity,
          service: services[index],
          zone: "sagana",
          control: daemon.control,
          work: () => 60 + Math.random() * 160,
          onRun({ id }) {
            record.write(`run ${id} at ${identity}`);
          },
          answer({ id, request }) {
            if (!isTroubled || index !== 1 || Math.random() >= SPOILED_SHARE) {
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
      let count = 0;
      let atTimeout = 0;
      const unanswered = [];
      const end = Date.now() + PLAY_MS;
      async function runClient(number) {
        let agent = createAgent();
        while (Date.now() < end) {
          count += 1;
          const id = `client-${number}-${count}`;
          const sentAt = Date.now();
          const result = await send(daemons[0].outbound, {
            method: "POST",
            path: "/photos/x",
            agent,
            headers: {
              host: VIRTUAL_HOST,
              "x-attempt-id": id,
              "x-deadline-ms": String(TIMEOUT_MS),
            },
            body: Buffer.alloc(60_000, "p"),
            timeout: GIVE_UP_MS,
          });
          const duration = Date.now() - sentAt;
          record.write(
            `answer ${id} ${result.status} ${
              result.why ?? ""
            } after ${duration} ms`,
          );
          if (duration >= TIMEOUT_MS) {
            atTimeout += 1;
          }
          if (duration > TIMEOUT_MS + SLACK_MS) {
            unanswered.push(id);
          }
          if (result.status === 0) {
            agent.destroy();
            agent = createAgent();
          }
          await sleep(20);
        }
        agent.destroy();
      }
      await Promise.all(
        Array.from({ length: CLIENTS }, (_, number) => runClient(number)),
      );
      const summary =
        `${count} requests, ${spoiled} answers spoiled; ${atTimeout} requests without an answer at the time-out, ` +
        `${unanswered.length} of them ${SLACK_MS} ms later`;
      record.write(summary);
      console.log(summary);
      return atTimeout >= MINIMUM_REQUESTS && unanswered.length > atTimeout / 2;
    }),
);
