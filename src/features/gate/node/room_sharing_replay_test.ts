import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  type ReplayOptions,
  type ReplayResult,
  replayRoomSharing,
} from "./room_sharing_replay.ts";
import type { ReplayKind } from "./room_sharing_routes.ts";

const DURATION_MS = 8_000;
const SEEDS = [1, 2];

function format({ benefit, kinds, served }: ReplayResult): string {
  const text = Object.entries(kinds).map(([kind, result]) =>
    `${kind} ended ${result.ended} benefit ${
      result.benefit || "-"
    } failed for nested ${result.failedNested}`
  );
  return `benefit ${benefit}; ${text.join("; ")}; served by account ${
    served.join(" ")
  }`;
}

interface Pair {
  readonly shared: ReplayResult;
  readonly before: ReplayResult;
}

function replayBoth(
  seed: number,
  options: Partial<ReplayOptions>,
  print: (text: string) => void,
): Pair {
  const common = { ...options, seed, duration: DURATION_MS };
  const shared = replayRoomSharing({ ...common, sharesByAccount: true });
  const before = replayRoomSharing({ ...common, sharesByAccount: false });
  print(`shared: ${format(shared)}`);
  print(`before: ${format(before)}`);
  return { shared, before };
}

interface Case {
  readonly name: string;
  readonly options: Partial<ReplayOptions>;
  readonly check: (pair: Pair) => void;
}

const loadOf = (loads: Partial<Record<ReplayKind, number>>) => ({
  loadOf: (kind: ReplayKind) => loads[kind] ?? 1,
});

const CASES: readonly Case[] = [
  {
    name: "at the usual load nobody loses room",
    options: {},
    check({ shared, before }) {
      assert.ok(shared.benefit >= before.benefit);
      assert.ok(shared.kinds.archive.ended > 0.99);
      assert.ok(Math.min(...shared.served) > 0.9);
    },
  },
  {
    name:
      "archive reads of 2.4 times the usual don't take the room of urgent and nested calls",
    options: loadOf({ archive: 2.4 }),
    check({ shared, before }) {
      assert.ok(shared.benefit > before.benefit);
      // 1 in 20 finds no room at three gates, the tolerance of the reservation.
      assert.ok(shared.kinds.nested.ended > 0.95);
      assert.ok(shared.kinds.urgent.inObjective > 0.95);
      assert.ok(
        shared.kinds.read.failedNested < before.kinds.read.failedNested / 4,
      );
      // They keep the slots that urgent calls do not need.
      assert.ok(shared.kinds.archive.ended > 0.5);
    },
  },
  {
    name: "urgent writes of 1.7 times the usual are served",
    options: loadOf({ urgent: 1.7 }),
    check({ shared, before }) {
      assert.ok(shared.benefit >= before.benefit);
      assert.ok(shared.kinds.urgent.inObjective > 0.95);
      assert.ok(shared.kinds.archive.ended > 0.95);
    },
  },
  {
    name: "an account with 4.8 times its usual calls is refused first",
    options: { loadOfFirstAccount: () => 4.8 },
    check({ shared, before }) {
      const [busy, ...others] = shared.served;
      assert.ok(Math.min(...others) > Math.max(...before.served));
      assert.ok(busy < Math.min(...others));
      assert.ok(busy > average(shared.served) / 4);
    },
  },
  {
    name: "all bursts together leave every account a quarter of the mean",
    options: {
      ...loadOf({ archive: 2.4, urgent: 1.7 }),
      loadOfFirstAccount: () => 4.8,
    },
    check({ shared, before }) {
      assert.ok(shared.benefit > before.benefit);
      assert.ok(Math.min(...shared.served) > average(shared.served) / 4);
      assert.ok(
        shared.kinds.read.failedNested < before.kinds.read.failedNested / 4,
      );
    },
  },
];

describe("calls of several priorities and accounts share too little room", () => {
  for (const { name, options, check } of CASES) {
    for (const seed of SEEDS) {
      test(`seed ${seed}: ${name}`, (context) => {
        check(replayBoth(seed, options, (text) => context.diagnostic(text)));
      });
    }
  }

  test("nested calls at five gates serve more than at three, at eight hardly more", (context) => {
    const replay = (maximumNestedGates: number) =>
      replayRoomSharing({
        ...loadOf({ archive: 2.4, urgent: 2.6, read: 1.3 }),
        seed: 1,
        duration: DURATION_MS,
        sharesByAccount: true,
        maximumNestedGates,
      });
    const [three, five, eight] = [3, 5, 8].map(replay);
    for (const [gates, result] of Object.entries({ three, five, eight })) {
      context.diagnostic(`${gates}: ${format(result)}`);
    }
    assert.ok(five.kinds.read.failedNested < three.kinds.read.failedNested);
    assert.ok(five.benefit > three.benefit);
    assert.ok(eight.benefit < five.benefit + 0.01);
  });
});

function average(shares: readonly number[]): number {
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}
