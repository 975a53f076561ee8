import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../base/common/clock.ts";
import { SILENT_LOG } from "../../base/common/event_log.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import { Err, Ok } from "../../base/common/result.ts";
import { StepError } from "../../base/common/step_error.ts";
import type { LinkTarget } from "../../features/link/common/peer_network.ts";
import type { DepartedInstance } from "../../world/common/mesh_instance.ts";
import { createHostRewrite, WRITES_PER_SECOND } from "./host_rewrite.ts";

const STEP_MS = 50;
/** Calls per second that a random spread may exceed the mean rate by. */
const SPREAD_TOLERANCE = 2;
const MAXIMUM_ATTEMPTS = 8;

interface Write {
  readonly target: LinkTarget;
  readonly departed: readonly DepartedInstance[];
  readonly at: number;
}

function startHosts(
  count: number,
  departed: readonly DepartedInstance[] = [],
  isFailing: () => boolean = () => false,
) {
  const clock = new VirtualClock(1_000);
  const writes: Write[] = [];
  let isStopped = false;
  const rewrites = Array.from(
    { length: count },
    (_, index) =>
      createHostRewrite({
        clock,
        random: createRandomSource(index + 1),
        log: SILENT_LOG,
        store: {
          readHosts: () => Promise.resolve(Ok({ targets: [], departed: [] })),
          rewriteHost(target, departures) {
            writes.push({ target, departed: departures, at: clock.now() });
            return Promise.resolve(
              isFailing()
                ? Err(new StepError("write", "refused", { outcome: "not-run" }))
                : Ok(undefined),
            );
          },
        },
        target: { host: `host-${index}`, address: "127.0.0.1", port: index },
        countHosts: () => count,
        departed: () => departed,
        isStopped: () => isStopped,
      }),
  );
  return {
    writes,
    changeEra: () => rewrites.forEach((rewrite) => rewrite()),
    stop() {
      isStopped = true;
    },
    async advance(duration: number) {
      for (let elapsed = 0; elapsed < duration; elapsed += STEP_MS) {
        clock.advance(STEP_MS);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}

// Guards against addresses and departures that the store has lost for good, and against hundreds of daemons that call
// the store at once, which then refuses the operator's and each other's calls.
describe("the address and the departures of a host, after the era has risen", () => {
  for (const count of [1, 10, 68, 200, 400]) {
    test(`${count} hosts write once each, a few at a time`, async (context) => {
      const { writes, changeEra, advance } = startHosts(count);
      await advance(10_000);
      assert.equal(writes.length, 0);
      changeEra();
      await advance(2_000 + count * 1_000 / WRITES_PER_SECOND);
      assert.equal(writes.length, count);
      assert.equal(
        new Set(writes.map(({ target }) => target.host)).size,
        count,
      );
      const perSecond = new Map<number, number>();
      for (const { at } of writes) {
        const second = Math.floor(at / 1_000);
        perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
      }
      const most = Math.max(...perSecond.values());
      context.diagnostic(`${writes.length} calls, at most ${most} in a second`);
      assert.ok(most <= SPREAD_TOLERANCE * WRITES_PER_SECOND);
      await advance(30_000);
      assert.equal(writes.length, count);
    });
  }

  test("include the departures that the store had", async () => {
    const departure = { identity: "i", startedAt: 7 };
    const { writes, changeEra, advance } = startHosts(1, [departure]);
    changeEra();
    await advance(2_000);
    assert.deepEqual(writes.map(({ departed }) => departed), [[departure]]);
  });

  test("are written once when the era rises twice in succession", async () => {
    const { writes, changeEra, advance } = startHosts(1);
    changeEra();
    changeEra();
    await advance(5_000);
    assert.equal(writes.length, 1);
  });

  test("are written by a bounded number of attempts while the store fails", async () => {
    const { writes, changeEra, advance } = startHosts(1, [], () => true);
    changeEra();
    await advance(300_000);
    assert.equal(writes.length, MAXIMUM_ATTEMPTS);
  });

  test("are written after an attempt has failed", async () => {
    let isFailing = true;
    const { writes, changeEra, advance } = startHosts(1, [], () => isFailing);
    changeEra();
    await advance(2_500);
    isFailing = false;
    const failed = writes.length;
    await advance(60_000);
    assert.ok(failed > 0);
    assert.equal(writes.length, failed + 1);
  });

  test("are not written by a daemon that has stopped", async () => {
    const { writes, changeEra, advance, stop } = startHosts(1);
    changeEra();
    stop();
    await advance(5_000);
    assert.equal(writes.length, 0);
  });
});
