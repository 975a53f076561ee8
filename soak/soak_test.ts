import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./soak.ts";

/** Seeds that once failed, and the cause. */
const SEEDS = [
  {
    seed: 1,
    seconds: 15,
    cause: "a second SIGTERM ended a daemon before its calls had ended",
  },
  {
    seed: 4,
    seconds: 8,
    cause: "calls that were accepted late in a stop, or pipelined, were cut",
  },
];

for (const { seed, seconds, cause } of SEEDS) {
  test(
    `daemon processes violate no guarantee under the faults of seed ${seed} (${cause})`,
    {
      timeout: 120_000,
    },
    async () => {
      const result = await runSoak({
        seed,
        seconds,
        hosts: 4,
        callsPerSecond: 15,
        folder: `run/soak-test/seed-${seed}`,
      });
      assert.ok(result.faults > 5);
      assert.ok(result.served > 0);
      assert.deepEqual(result.violations, []);
    },
  );
}
