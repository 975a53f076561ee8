// Case 8: a configuration with a long version number is acknowledged and never comes into force.
import { call, configuration, runCase, sleep } from "../lib-2/mesh.mjs";

/** The bounds of the small deployments, and an allowance for this script's own delays. */
const APPLY_MS = 2_000;
const MARGIN_MS = 1_000;
/** Dated version numbers with a serial of three digits, as an operator's tool may write them. */
const FIRST_VERSION = "20261207021655001";
const NEXT_VERSION = "20261207021655002";

await runCase(import.meta.url, async ({ record, hasTrouble, ...mesh }) => {
  const store = await mesh.store();
  const routes = (service) => [
    { name: "heat", kind: "safe", service, goal: 0.4, timeout: 1 },
    { name: "assign", kind: "unsafe", service, goal: 0.5, timeout: 1.2 },
    {
      name: "standings",
      kind: "safe",
      service: "results",
      goal: 0.15,
      timeout: 0.4,
    },
  ];
  const clusters = ["bib", "bib-new", "results"];
  const write = (version, service, added = []) => {
    const document = configuration(version, [...routes(service), ...added]);
    document.clusters = clusters.map((name) => ({
      name,
      health_path: "/healthz",
      max_conns: 110,
    }));
    store.write("keyed.op", "config", document);
    record("configuration-acknowledged", {
      version: document.version,
      assignRunsAt: service,
    });
  };
  write(FIRST_VERSION, "bib");
  const machines = [];
  for (
    const [index, service] of ["bib", "bib-new", "results", "bib"].entries()
  ) {
    machines.push(
      await mesh.machine({
        node: `sidecar-${index + 1}`,
        zone: `zone-${index % 2}`,
        service,
        store,
      }),
    );
  }
  await sleep(1_500);
  const instances = [];
  for (const machine of machines) {
    instances.push(
      await mesh.instance({
        id: `i-${machine.node}`,
        service: machine.service,
        zone: machine.zone,
        heartbeats: machine.heartbeats,
        serve: () => ({ work: 20 }),
        onRun: ({ attempt, instance, url }) =>
          record("run", { attempt, instance, service: machine.service, url }),
      }),
    );
  }
  for (const machine of machines) {
    await machine.waitUntilReady();
  }
  await sleep(1_500);

  let number = 0;
  const late = [];
  let sentAfter = 0;
  /** Sends requests to each machine in turn; `isBound` once only the newest configuration may be in force. */
  async function sendRequests(rounds, { service, isBound }) {
    for (let round = 0; round < rounds; round += 1) {
      for (const machine of machines) {
        number += 1;
        const attempt = (0xa1000000 + number).toString(16);
        const answer = await call(machine.calls, {
          path: "/assign/boat",
          method: "POST",
          attempt,
          deadline: 1_200,
          body: Buffer.from("boat"),
        });
        const ranAt = machines.filter((_, index) =>
          instances[index].runs.some((run) => run.attempt === attempt)
        )
          .map((each) => each.service);
        record("answered", {
          attempt,
          to: machine.node,
          status: answer.status,
          ranAt: ranAt.join(","),
        });
        if (isBound) {
          sentAfter += 1;
          late.push(...ranAt.filter((each) => each !== service));
        }
        await sleep(20);
      }
    }
  }

  await sendRequests(10, { service: "bib", isBound: false });
  let service = "bib";
  if (hasTrouble) {
    service = "bib-new";
    write(NEXT_VERSION, service);
  }
  await sleep(APPLY_MS + MARGIN_MS);
  await sendRequests(10, { service, isBound: true });
  await sleep(5_000);
  await sendRequests(10, { service, isBound: true });
  record("checked", {
    sentAfterBound: sentAfter,
    runByOldService: late.length,
  });
  return late.length === 0;
});
