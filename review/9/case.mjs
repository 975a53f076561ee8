// Case 9: a daemon that stops takes calls of its instance late in the stop, and breaks them off while their instances are at work.
import { call, configuration, runCase, sleep } from "../lib-2/mesh.mjs";

const GRACE_MS = 6_000;
/** A request that was sent later than this after the SIGTERM has no excuse (RULES.md, LOST). */
const LATEST_EXCUSED_MS = 3_000;
/** As `tariff-lookup`: 78 ms on average, at most 470 ms, at an instance that is 1.5 times as slow. */
const USUAL_LOOKUP_MS = 78;
const LONG_LOOKUP_MS = 700;
const LOOKUP_TIMEOUT_MS = 1_000;
/** As `bay-status`: 660 ms on average, 7,000 ms at most. */
const USUAL_WORK_MS = 500;
const DEADLINE_MS = 5_000;

await runCase(import.meta.url, async ({ record, hasTrouble, ...mesh }) => {
  const store = await mesh.store();
  store.write(
    "keyed.op",
    "config",
    configuration(5, [
      {
        name: "session",
        kind: "unsafe",
        service: "finder",
        goal: 2,
        timeout: DEADLINE_MS / 1_000,
      },
      {
        name: "tariff",
        kind: "safe",
        service: "hub",
        goal: 0.3,
        timeout: LOOKUP_TIMEOUT_MS / 1_000,
      },
    ]),
  );
  const machines = [];
  for (
    const [index, service] of ["finder", "finder", "hub", "hub", "hub"]
      .entries()
  ) {
    machines.push(
      await mesh.machine({
        node: `sidecar-${index + 1}`,
        zone: ["fukuoka-a", "fukuoka-b"][index % 2],
        service,
        store,
        grace: GRACE_MS / 1_000,
      }),
    );
  }
  await sleep(1_500);
  const startedAt = performance.now();
  const time = () => Math.round(performance.now() - startedAt);
  /** The calls that instances made: when they were sent and answered, and how. */
  const lookups = [];
  /** Runs at the instances of `hub`, by attempt: when they began, and when they ended or were cut. */
  const lookupRuns = new Map();
  let isLong = false;

  async function serveSession(machine, run) {
    const before = Number(
      new URL(run.url, "http://x").searchParams.get("before") ?? USUAL_WORK_MS,
    );
    await sleep(before);
    if (run.isGone) {
      return undefined;
    }
    const attempt = `${run.attempt}.1`;
    const lookup = { attempt, sentAt: performance.now() };
    lookups.push(lookup);
    record("lookup-sent", { attempt, to: machine.node });
    const answer = await call(machine.calls, {
      path: "/tariff/1",
      attempt,
      deadline: LOOKUP_TIMEOUT_MS,
    });
    lookup.answeredAt = performance.now();
    lookup.status = answer.status;
    lookup.isOfInstance = answer.headers["x-server-seal"] !== undefined;
    record("lookup-answered", {
      attempt,
      status: answer.status,
      byInstance: lookup.isOfInstance,
    });
    return { status: answer.status === 200 ? 200 : 500 };
  }

  for (const machine of machines) {
    await mesh.instance({
      id: `i-${machine.node}`,
      service: machine.service,
      zone: machine.zone,
      heartbeats: machine.heartbeats,
      slots: 13,
      async serve(run) {
        if (machine.service === "finder") {
          return await serveSession(machine, run);
        }
        const work = isLong ? LONG_LOOKUP_MS : USUAL_LOOKUP_MS;
        const at = performance.now();
        lookupRuns.set(run.attempt, { at, endsAt: at + work });
        return { work };
      },
      onRun: ({ attempt, instance }) =>
        record("run", { attempt, instance, at: time() }),
    });
  }
  for (const machine of machines) {
    await machine.waitUntilReady();
  }
  await sleep(1_500);

  const [stopping] = machines;
  let number = 0;
  async function send(before) {
    number += 1;
    const attempt = (0xc3000000 + number).toString(16);
    record("sent", { attempt, to: stopping.node });
    const answer = await call(stopping.calls, {
      path: `/session/1?before=${before}`,
      method: "POST",
      attempt,
      deadline: DEADLINE_MS,
      body: Buffer.from("bay"),
    });
    record("answered", { attempt, status: answer.status });
    return answer.status;
  }
  // The usual load, from which the daemons know how long calls take.
  const usual = [];
  for (let index = 0; index < 40; index += 1) {
    usual.push(send(USUAL_WORK_MS));
    await sleep(100);
  }
  const usualStatuses = await Promise.all(usual);
  record("usual", {
    sent: usualStatuses.length,
    served: usualStatuses.filter((status) => status === 200).length,
  });
  lookups.length = 0;

  isLong = true;
  const stoppedAt = performance.now();
  if (hasTrouble) {
    record("SIGTERM", { to: stopping.node });
    stopping.signal("SIGTERM");
    setTimeout(() => stopping.signal("SIGKILL"), GRACE_MS);
  }
  const pending = [];
  await sleep(800);
  // Each is sent within 1.6 s of the SIGTERM, makes its call some 5 s after it, and could end by its deadline.
  for (const at of [4_900, 4_960, 5_020, 5_080, 5_140, 5_200, 5_260]) {
    pending.push(send(Math.round(at - (performance.now() - stoppedAt))));
    await sleep(100);
  }
  await Promise.all(pending);
  await sleep(500);

  const broken = lookups.filter((lookup) => {
    const run = lookupRuns.get(lookup.attempt);
    return !lookup.isOfInstance && run !== undefined &&
      run.endsAt > lookup.answeredAt &&
      lookup.sentAt > stoppedAt + LATEST_EXCUSED_MS &&
      lookup.answeredAt < lookup.sentAt + LOOKUP_TIMEOUT_MS - 50;
  });
  for (const { attempt, sentAt, answeredAt, status } of broken) {
    record("broken-off", {
      attempt,
      status,
      sentAfterSigterm: Math.round(sentAt - stoppedAt),
      answeredAfterSigterm: Math.round(answeredAt - stoppedAt),
      instanceWouldEndAfterSigterm: Math.round(
        lookupRuns.get(attempt).endsAt - stoppedAt,
      ),
    });
  }
  record("checked", {
    lookups: lookups.length,
    served: lookups.filter(({ isOfInstance }) => isOfInstance).length,
    brokenOff: broken.length,
  });
  return broken.length === 0;
});
