/**
 * An instance says that it leaves, and its daemon confirms it. Then the processes of all daemons are killed
 * and started again, and an earlier heartbeat of the instance arrives late.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { startInstance } from "../lib/instance.mjs";
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

const DRAIN_MS = 2_000;
/** The instance serves for this long after the confirmation, and then exits. */
const STAY_MS = 5_000;
const KILL_AFTER_MS = 300;
const RESTART_MS = 500;
/** When the delayed heartbeat arrives, after the restart of the daemons. */
const LATE_BEAT_MS = 1_400;

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
            name: "bib-assign",
            kind: "unsafe",
            goal_s: 0.5,
            timeout_s: 1.2,
            prefix: "/assign/",
            service: "bib",
          },
        ]),
      );
      const daemons = [];
      for (let index = 0; index < 3; index += 1) {
        daemons.push(
          await startDaemon({
            host: `sidecar-${index}`,
            zone: "sagana",
            service: "bib",
          }),
        );
      }
      const sentAt = new Map();
      let confirmedAt = Infinity;
      let restartedAt = 0;
      const late = [];
      /** Requests that the leaving instance began and whose clients got no answer of it. */
      const lost = [];
      const startedAtLeaving = new Set();
      const instances = [];
      for (const [index, daemon] of daemons.entries()) {
        await daemon.waitUntilReady();
        const identity = `i-${index}`;
        instances.push(
          await startInstance({
            identity,
            service: "bib",
            zone: "sagana",
            control: daemon.control,
            work: () => 80 + Math.random() * 80,
            onRun({ id }) {
              record.write(`run ${id} at ${identity}`);
              if (index === 0 && sentAt.get(id) > confirmedAt + DRAIN_MS) {
                startedAtLeaving.add(id);
              }
            },
            onArrive({ id }) {
              const at = sentAt.get(id);
              if (
                index === 0 && at > confirmedAt + DRAIN_MS &&
                at > restartedAt + STABLE_MS
              ) {
                late.push({ id, after: at - confirmedAt });
                record.write(
                  `request ${id} reaches ${identity}, sent ${
                    at - confirmedAt
                  } ms after the confirmation that it leaves`,
                );
              }
            },
          }),
        );
        onEnd(() => instances[index].close());
      }
      await sleep(STABLE_MS);
      let isOver = false;
      let count = 0;
      async function runClient(daemon, number) {
        let agent = createAgent();
        while (!isOver) {
          count += 1;
          const id = `${daemon.host}-${number}-${count}`;
          const isSafe = number % 3 !== 0;
          sentAt.set(id, Date.now());
          const result = await send(daemon.outbound, {
            method: isSafe ? "GET" : "POST",
            path: isSafe ? "/heat/x" : "/assign/x",
            agent,
            headers: {
              host: VIRTUAL_HOST,
              "x-attempt-id": id,
              "x-deadline-ms": isSafe ? "1000" : "1200",
            },
            ...(isSafe ? {} : { body: Buffer.from("boat") }),
            timeout: 3_000,
          });
          record.write(`answer ${id} ${result.status} ${result.why ?? ""}`);
          if (result.status !== 200 && startedAtLeaving.has(id)) {
            lost.push(id);
          }
          if (result.status !== 200) {
            agent.destroy();
            agent = createAgent();
            await sleep(100);
          }
          await sleep(30);
        }
        agent.destroy();
      }
      const clients = Promise.all(
        daemons.flatMap((daemon) =>
          Array.from({ length: 8 }, (_, number) => runClient(daemon, number))
        ),
      );
      await sleep(2_000);
      const leaving = instances[0];
      leaving.heartbeats.stop();
      const delayedBeat = isTroubled
        ? leaving.heartbeats.prepare("ready")
        : undefined;
      const confirmation = await send(daemons[0].control, {
        method: "DELETE",
        path: `/instances/${leaving.identity}`,
        body: Buffer.from(JSON.stringify({ born: leaving.heartbeats.born })),
      });
      confirmedAt = Date.now();
      record.write(`DELETE of ${leaving.identity}: ${confirmation.status}`);
      if (isTroubled) {
        await sleep(KILL_AFTER_MS);
        record.write("all daemons are killed");
        for (const daemon of daemons) {
          daemon.kill("SIGKILL");
        }
        await Promise.all(daemons.map(({ ended }) => ended));
        await sleep(RESTART_MS);
        for (const daemon of daemons) {
          daemon.start();
        }
        restartedAt = Date.now();
        await sleep(LATE_BEAT_MS);
        const result = await delayedBeat();
        record.write(
          `a heartbeat of ${leaving.identity} from before its DELETE arrives: ${result.status}`,
        );
      }
      await sleep(Math.max(0, confirmedAt + STAY_MS - Date.now()));
      record.write(`${leaving.identity} exits`);
      await leaving.close();
      await sleep(1_500);
      isOver = true;
      await clients;
      const summary =
        `${count} requests, ${late.length} reached the leaving instance more than ${DRAIN_MS} ms ` +
        `after the confirmation, sent at least ${STABLE_MS} ms after the restart; ${lost.length} requests that it had begun failed as it exited`;
      record.write(summary);
      console.log(summary);
      return late.length > 0;
    }),
);
