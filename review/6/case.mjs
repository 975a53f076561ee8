// Case 6: while requests overlap, the instance gets the request of one tenant under the name of another one, and a request with an
// unknown key runs.
import { call, configuration, runCase, sleep } from "../lib-2/mesh.mjs";

/** Time between two requests at one machine, as usual, and with 1.7 times as many. */
const USUAL_GAP_MS = 350;
const BURST = 1.7;
/** Of the kind `precinct-upload`: 152 ms on average, 970 ms at most, at an instance that is 1.4 times as slow. */
const WORK_MS = 260;
/** Takes 2.5 s in the burst. */
const ROUNDS = 4;
const TENANTS = [
  { name: "county-red", api_keys: ["irth5mgjy5rcpihhacru"], prio: 1 },
  { name: "county-blue", api_keys: ["w7uq2kfmz0xdy3ehb9an"], prio: 1 },
];
const UNKNOWN_KEY = "irth5mgjy5rcpihhacrv";

await runCase(import.meta.url, async ({ record, hasTrouble, ...mesh }) => {
  const store = await mesh.store();
  store.write(
    "keyed.op",
    "config",
    configuration(12, [
      {
        name: "precinct",
        kind: "unsafe",
        service: "tallyfront",
        goal: 0.5,
        timeout: 2,
      },
      {
        name: "archive",
        kind: "safe",
        service: "certdesk",
        goal: 3,
        timeout: 6,
      },
    ], { tenants: TENANTS }),
  );
  const machines = [];
  for (
    const [index, service] of [
      "tallyfront",
      "tallyfront",
      "tallyfront",
      "certdesk",
    ].entries()
  ) {
    machines.push(
      await mesh.machine({
        node: `sidecar-${index + 1}`,
        zone: `midwest-${"abc"[index % 3]}`,
        service,
        store,
      }),
    );
  }
  await sleep(1_500);
  const runs = [];
  for (const machine of machines) {
    await mesh.instance({
      id: `i-${machine.node}`,
      service: machine.service,
      zone: machine.zone,
      heartbeats: machine.heartbeats,
      slots: 6,
      serve: () => ({ work: WORK_MS }),
      onRun(run) {
        runs.push(run);
        record("run", {
          attempt: run.attempt,
          instance: run.instance,
          tenant: run.headers["x-tenant"],
        });
      },
    });
  }
  for (const machine of machines) {
    await machine.waitUntilReady();
  }
  await sleep(3_000);

  /** The tenant that holds the key of each attempt; undefined for the key that no configuration holds. */
  const tenantOf = new Map();
  const answers = [];
  async function upload(machine, { attempt, key, tenant }) {
    tenantOf.set(attempt, tenant);
    record("sent", { attempt, to: machine.node, keyOf: tenant ?? "nobody" });
    const answer = await call(machine.calls, {
      path: `/precinct/${attempt}`,
      method: "POST",
      attempt,
      deadline: 2_000,
      body: Buffer.from("counts"),
      headers: { "api-key": key },
    });
    record("answered", { attempt, status: answer.status });
    answers.push({ attempt, status: answer.status });
  }

  const gap = hasTrouble ? USUAL_GAP_MS / BURST : USUAL_GAP_MS;
  const pending = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [index, machine] of machines.slice(0, 3).entries()) {
      // Clerks' tools name an attempt by the number of the precinct and the number of the attempt.
      const precinct = `${471 + 13 * index + 37 * round}`;
      const uploads = [
        {
          attempt: `${precinct}-1`,
          key: TENANTS[0].api_keys[0],
          tenant: "county-red",
        },
        {
          attempt: `1${precinct}-1`,
          key: TENANTS[1].api_keys[0],
          tenant: "county-blue",
        },
        { attempt: `21${precinct}-1`, key: UNKNOWN_KEY, tenant: undefined },
      ];
      pending.push((async () => {
        for (const each of uploads) {
          pending.push(upload(machine, each));
          await sleep(gap);
        }
      })());
    }
    await sleep(3 * gap);
  }
  await sleep(2_500);
  await Promise.all(pending);

  const foreign = runs.filter(({ attempt, headers }) =>
    tenantOf.get(attempt) !== undefined &&
    headers["x-tenant"] !== tenantOf.get(attempt)
  );
  const unknown = runs.filter(({ attempt }) =>
    tenantOf.get(attempt) === undefined
  );
  const count = (status) =>
    answers.filter((answer) => answer.status === status).length;
  record("checked", {
    requests: answers.length,
    runs: runs.length,
    runUnderAnotherTenant: foreign.length,
    runWithUnknownKey: unknown.length,
    answered200: count(200),
    answered401: count(401),
  });
  return foreign.length + unknown.length === 0;
});
