import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./soak.ts";

/** Seeds whose runs showed a fault once, with its cause. */
const SEEDS = [
  {
    seed: 1,
    seconds: 15,
    cause: "a second SIGTERM ended a daemon before its calls",
  },
  {
    seed: 4,
    seconds: 8,
    cause: "calls taken late in a stop, or behind others, were cut",
  },
];

for (const { seed, seconds, cause } of SEEDS) {
  test(
    `daemons as processes keep their promises under the faults of seed ${seed} (${cause})`,
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
