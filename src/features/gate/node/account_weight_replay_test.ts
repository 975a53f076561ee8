import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { AccountWeights } from "../common/account_shares.ts";
import { createAdmissionFixture } from "./admission_fixture.ts";

const SLOTS = 4;
const SERVICE_MS = 50;
/** A small account makes some 240 calls, so that the share of those that are served varies by less than 0.03. */
const DURATION_MS: Milliseconds = 240_000;

interface Demand {
  /** Calls per second. */
  readonly large: number;
  /** Calls per second of each small account. */
  readonly small: number;
  readonly smallAccounts: number;
}

interface Case {
  readonly name: string;
  readonly demand: Demand;
  readonly objective: Milliseconds;
}

/** All loads ask for more than the 80 calls per second that the instance serves. */
const LOADS: readonly { readonly name: string; readonly demand: Demand }[] = [
  {
    name:
      "the large account asks for a tenth of its limit, ten small ones for theirs",
    demand: { large: 100, small: 1, smallAccounts: 10 },
  },
  {
    name: "one small account sends many calls at once",
    demand: { large: 100, small: 10, smallAccounts: 1 },
  },
  {
    name: "small accounts send half of the calls",
    demand: { large: 60, small: 6, smallAccounts: 10 },
  },
];

const CASES: readonly Case[] = LOADS.flatMap(({ name, demand }) => [
  { name: `${name}; calls may wait`, demand, objective: 300 },
  { name: `${name}; calls have no time to wait`, demand, objective: 85 },
]);

interface Served {
  /** The share of the calls of each account that ended within their objective; the large account is the first. */
  readonly accounts: readonly number[];
  readonly all: number;
}

function replay(
  { demand, objective }: Case,
  seed: number,
  weighAccount: AccountWeights,
): Served {
  const random = createRandomSource(seed);
  const { admission, clock, offer } = createAdmissionFixture(SLOTS, {
    weighAccount,
    drawDuration: () => SERVICE_MS * (0.5 + random.nextFraction()),
  });
  const counts = Array.from(
    { length: 1 + demand.smallAccounts },
    () => ({ all: 0, served: 0 }),
  );
  const perSecond = demand.large + demand.small * demand.smallAccounts;
  for (let at = 0, index = 0; at < DURATION_MS; index += 1) {
    at -= Math.log(1 - random.nextFraction()) * 1_000 / perSecond;
    const draw = random.nextFraction() * perSecond - demand.large;
    const account = draw < 0 ? 0 : 1 + Math.floor(draw / demand.small);
    clock.schedule(at, () => {
      const arrivedAt = clock.now();
      const outcomes = offer(`a${account}`, `${index}`, {
        objectiveInMilliseconds: objective,
        deadlineInMilliseconds: 2 * objective,
        meanServiceMilliseconds: SERVICE_MS,
      });
      counts[account].all += 1;
      clock.schedule(objective, () => {
        const [outcome] = outcomes;
        counts[account].served += outcome?.type === "answer" &&
            clock.now() <= arrivedAt + objective
          ? 1
          : 0;
      });
    });
  }
  clock.advance(DURATION_MS + 5_000);
  admission.dispose();
  const sum = (key: "all" | "served") =>
    counts.reduce((total, count) => total + count[key], 0);
  return {
    accounts: counts.map(({ all, served }) => served / all),
    all: sum("served") / sum("all"),
  };
}

const format = ({ accounts, all }: Served) =>
  `all ${all.toFixed(3)}, by account ${
    accounts.map((share) => share.toFixed(3)).join(" ")
  }`;

// Guards against calls of a small account that wait until a thousand of a large one have started.
describe("accounts whose limits are a thousand times apart compete for too little room", () => {
  for (const replayed of CASES) {
    for (const seed of [1, 2]) {
      test(`seed ${seed}: ${replayed.name}: none is served less than a quarter as often as all`, (context) => {
        const byLimit = replay(
          replayed,
          seed,
          (account) => account === "a0" ? 1_000 : 1,
        );
        const equal = replay(replayed, seed, () => 1);
        context.diagnostic(`by limit: ${format(byLimit)}`);
        context.diagnostic(`equal weights: ${format(equal)}`);
        assert.ok(Math.min(...byLimit.accounts) >= byLimit.all / 4);
        // The order decides who is served, not how many.
        assert.ok(byLimit.all > 0.95 * equal.all);
      });
    }
  }
});
