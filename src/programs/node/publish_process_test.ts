import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { encodeMessage } from "../../base/common/message_codec.ts";
import { assertAllServed, startProcessCallers } from "./process_callers.ts";
import {
  everyAsync,
  startProcessFleet,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./process_fleet.ts";
import { watchVersions } from "./version_watch.ts";

/** Longer than a daemon waits for a verdict, so that the operator gets `unknown`. */
const SLOW_PLATFORM_MS = 12_000;

test(
  "a change whose append gets no response is unknown or accepted, is applied once, and its status shows the result",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, { upstreams: [] });
    const [first, second, third] = fleet.daemons;
    const before = (await first.readReadiness())!.version;

    await fleet.setFaults({ lostAnswerShare: 1 });
    const identity = "change-lost";
    const answers = await Promise.all(
      [first, second, third].map((daemon) =>
        fleet.publish(daemon, { identity })
      ),
    );
    answers.forEach((answer) =>
      assert.match(String(answer?.result), /^(accepted|unknown)$/)
    );
    await fleet.setFaults({ lostAnswerShare: 0 });
    const repeat = await fleet.publish(second, { identity });
    assert.equal(repeat?.result, "accepted");
    const offset = Number(repeat?.offset);
    assert.ok(offset > before);
    for (const daemon of fleet.daemons) {
      const status = await daemon.request(`/changes/${identity}`);
      assert.equal(status?.state, "accepted");
      assert.equal(status?.offset, offset, "applied at one offset everywhere");
      assert.equal((await daemon.readReadiness())?.version, offset);
    }

    await fleet.setFaults({ delayMilliseconds: SLOW_PLATFORM_MS });
    const slow = "change-slow";
    const unknown = await fleet.publish(first, { identity: slow });
    assert.equal(unknown?.result, "unknown");
    await fleet.setFaults({ delayMilliseconds: 0 });
    const status = await fleet.runCommand(second, [
      "status",
      slow,
      "--wait",
      "60s",
    ]);
    assert.equal(status.code, 0, status.output);
    assert.match(status.output, /change-slow is accepted as version \d+/);
    const repeated = await fleet.publish(third, { identity: slow });
    assert.equal(repeated?.result, "accepted");
    await fleet.waitForVersion(Number(repeated?.offset));
    await sleep(500);
    for (const daemon of fleet.daemons) {
      assert.equal((await daemon.readReadiness())?.version, repeated?.offset);
    }
  },
);

test(
  "of two concurrent changes of one object one is accepted and one refused because of its stale base version",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, { upstreams: [] });
    const [first, second] = fleet.daemons;
    for (let round = 0; round < 5; round += 1) {
      const baseVersion = (await first.readReadiness())!.version;
      await fleet.waitForVersion(baseVersion);
      const answers = await Promise.all(
        [first, second].map((daemon) => fleet.publish(daemon, { baseVersion })),
      );
      const results = answers.map((answer) => answer?.result).sort();
      assert.deepEqual(results, ["accepted", "refused"]);
      const refused = answers.find((answer) => answer?.result === "refused");
      assert.match(
        String(refused?.reason),
        /was changed at \d+, after the base/,
      );
    }
  },
);

test(
  "every daemon rejects a record that is not msgpack and one of an unknown schema, keeps serving and applies the next change",
  { timeout: TEST_TIMEOUT_MS },
  async (context) => {
    const fleet = await startProcessFleet(context, {
      upstreams: [{ daemon: 0 }, { daemon: 1 }],
    });
    const { daemons } = fleet;
    const inForce = await fleet.publishEverywhere();
    const watch = watchVersions(context, daemons);
    const callers = startProcessCallers(context, { daemons });
    const identity = "change-later-schema";
    await fleet.append(Uint8Array.of(0xc1, 0xff, 0x00));
    await fleet.append(encodeMessage({
      schema: 99,
      kind: "change",
      identity,
      baseVersion: inForce,
      author: "demo",
      upsert: { services: [{ name: "booking", version: "9.9" }] },
      remove: {},
    }));
    await waitUntil(
      "calls with the bad records in the log",
      () => callers.calls.length > 100,
    );
    assert.ok(
      await everyAsync(
        daemons,
        async (daemon) => (await daemon.readReadiness())?.version === inForce,
      ),
      "no daemon applies a bad record",
    );
    const next = await fleet.publishEverywhere();
    assert.equal(next, inForce + 3, "the bad records are in the log");
    await waitUntil("more calls", () => callers.calls.length > 200);
    assertAllServed(await callers.stop());
    assert.deepEqual(await watch.stop(), []);
    for (const daemon of daemons) {
      const status = await daemon.request(`/changes/${identity}`);
      assert.notEqual(status?.state, "accepted");
    }
  },
);
