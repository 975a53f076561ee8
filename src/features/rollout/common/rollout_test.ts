import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createRolloutRegistry } from "./rollout_registry.ts";
import { mergeProgress, type RolloutProgress } from "./rollout_progress.ts";
import {
  findVersionRegression,
  type HostEvidence,
} from "./version_evidence.ts";

const ORDER = {
  service: "booking",
  targetVersion: "v2",
  durationMilliseconds: 16_000,
};

interface RowOptions {
  readonly host: string;
  readonly version: string;
  readonly calls: number;
  readonly failures?: number;
  readonly mean?: number;
}

function row(options: RowOptions): HostEvidence {
  const { host, version, calls, failures = 0, mean = 50 } = options;
  return {
    host,
    service: "booking",
    version,
    routes: [{
      route: "reserve",
      calls,
      failures,
      warmCalls: calls,
      warmMilliseconds: calls * mean,
    }],
  };
}

const REFERENCE_ROWS = [
  row({ host: "a", version: "v1", calls: 300, failures: 1 }),
  row({ host: "b", version: "v1", calls: 300, failures: 2 }),
];

describe("evidence against a version", () => {
  const cases = [
    {
      name: "as good as the old version",
      rows: [
        row({ host: "c", version: "v2", calls: 40 }),
        row({ host: "d", version: "v2", calls: 40, failures: 1 }),
      ],
      measure: undefined,
    },
    {
      name: "half of the calls fail on both hosts",
      rows: [
        row({ host: "c", version: "v2", calls: 20, failures: 10 }),
        row({ host: "d", version: "v2", calls: 20, failures: 9 }),
      ],
      measure: "failures",
    },
    {
      name: "one broken host of two does not make a version bad",
      rows: [
        row({ host: "c", version: "v2", calls: 20, failures: 20 }),
        row({ host: "d", version: "v2", calls: 40 }),
      ],
      measure: undefined,
    },
    {
      name: "several times slower on both hosts",
      rows: [
        row({ host: "c", version: "v2", calls: 20, mean: 400 }),
        row({ host: "d", version: "v2", calls: 20, mean: 390 }),
      ],
      measure: "latency",
    },
    {
      name: "hosts that are twice as slow do not make a version bad",
      rows: [
        row({ host: "c", version: "v2", calls: 40, mean: 110 }),
        row({ host: "d", version: "v2", calls: 40, mean: 90 }),
      ],
      measure: undefined,
    },
    {
      name: "two failures of two calls are not enough",
      rows: [
        row({ host: "c", version: "v2", calls: 2, failures: 2 }),
      ],
      measure: undefined,
    },
  ];
  for (const { name, rows, measure } of cases) {
    test(name, () => {
      const found = findVersionRegression([...REFERENCE_ROWS, ...rows], {
        service: "booking",
        version: "v2",
      });
      assert.equal(found?.measure, measure);
    });
  }
});

test("failures of the only version are no regression", () => {
  const rows = [
    row({ host: "c", version: "v2", calls: 20, failures: 10 }),
    row({ host: "d", version: "v2", calls: 20, failures: 9 }),
  ];
  const found = findVersionRegression(rows, {
    service: "booking",
    version: "v2",
  });
  assert.equal(found, undefined);
});

describe("merging the rollout progress of two daemons", () => {
  const base: RolloutProgress = {
    service: "booking",
    targetVersion: "v2",
    orderOffset: 5,
    step: 0,
    share: 0.04,
    state: "running",
    isStored: false,
  };
  const cases: {
    readonly name: string;
    readonly other: Partial<RolloutProgress>;
    readonly expected: Partial<RolloutProgress>;
  }[] = [
    {
      name: "the later step wins",
      other: { step: 3, share: 0.01 },
      expected: { step: 3, share: 0.01 },
    },
    {
      name: "a revert wins",
      other: { state: "reverted" },
      expected: { state: "reverted" },
    },
    {
      name: "a later order replaces an earlier one",
      other: { orderOffset: 9, step: -1, share: 0 },
      expected: { orderOffset: 9, step: -1, share: 0 },
    },
  ];
  for (const { name, other, expected } of cases) {
    test(`${name}, in either merge order`, () => {
      const received = { ...base, ...other };
      for (
        const merged of [
          mergeProgress(base, received),
          mergeProgress(received, base),
        ]
      ) {
        assert.deepEqual({ ...merged, ...expected }, merged);
      }
    });
  }

  test("a final state in the store takes precedence over a later revert", () => {
    const stored = { ...base, state: "complete" as const, isStored: true };
    const reverted = { ...base, state: "reverted" as const };
    assert.equal(mergeProgress(stored, reverted).state, "complete");
    assert.equal(mergeProgress(reverted, stored).state, "complete");
  });
});

describe("advancing a rollout", () => {
  function simulateRollout(
    evidence: readonly HostEvidence[],
    untilMilliseconds: number,
  ) {
    const book = createRolloutRegistry();
    book.addOrder(ORDER, 5, 0);
    const events: string[] = [];
    for (let now = 0; now <= untilMilliseconds; now += 200) {
      for (
        const event of book.advance({
          evidence,
          isLeader: true,
          countTargetInstances: () => 7,
          now,
        })
      ) {
        events.push(`${event.type} ${event.progress.share} at ${now}`);
      }
    }
    return { book, events };
  }

  test("a good version completes at the full share by 90% of its duration", () => {
    const { events } = simulateRollout(REFERENCE_ROWS, 16_000);
    const last = events.at(-1) ?? "";
    assert.match(last, /^complete 1 at (\d+)$/);
    assert.ok(Number(last.split(" ")[3]) <= 16_000 * 0.9);
  });

  test("a reverted version gets no more calls", () => {
    const bad = [
      ...REFERENCE_ROWS,
      row({ host: "c", version: "v2", calls: 20, failures: 10 }),
      row({ host: "d", version: "v2", calls: 20, failures: 9 }),
    ];
    const { book, events } = simulateRollout(bad, 1_000);
    assert.match(events.at(-1) ?? "", /^reverted/);
    const choice = book.chooseVersion("booking", "any", 0);
    assert.equal(choice.isAllowed("v2"), false);
    assert.equal(choice.isPreferred("v1"), true);
  });

  test("under a tenth of the calls reach the target version at the end of the first step", () => {
    const { book } = simulateRollout(REFERENCE_ROWS, 16_000 * 0.39);
    const calls = Array.from({ length: 2_000 }, (_, index) => `call-${index}`);
    const reached = calls.filter((identity) =>
      book.chooseVersion("booking", identity, 0).isPreferred("v2")
    );
    assert.ok(reached.length > 0 && reached.length < 0.1 * calls.length);
  });

  test("one step concentrates the calls on two instances, at 0.9 of the load of the full share", () => {
    const { book } = simulateRollout(REFERENCE_ROWS, 16_000 * 0.43);
    const progress = book.find("booking");
    assert.equal(progress?.instances, 2);
    assert.ok(Math.abs(progress!.share * 7 / 2 - 0.9) < 0.03);
  });

  // Guards against a version that fails late or only under load and gets a tenth of all calls or more.
  const regressionCases = [
    { name: "from the start", from: 0 },
    { name: "after 3 s", from: 3_000 },
    { name: "on two loaded instances", from: 16_000 * 0.4 },
    { name: "at the full share", from: 16_000 * 0.47 },
  ];
  for (const { name, from } of regressionCases) {
    test(`a version that fails ${name} is reverted with less than a tenth of the calls`, () => {
      const book = createRolloutRegistry();
      book.addOrder(ORDER, 5, 0);
      const bad = [
        ...REFERENCE_ROWS,
        row({ host: "c", version: "v2", calls: 20, failures: 10 }),
        row({ host: "d", version: "v2", calls: 20, failures: 9 }),
      ];
      // Calls take time to end, and evidence is sent at intervals.
      const evidenceDelay = 700;
      let exposed = 0;
      let reachedFullShare = false;
      for (let now = 0; now < 16_000; now += 20) {
        const progress = book.find("booking")!;
        reachedFullShare ||= progress.share === 1;
        exposed += progress.state === "running" ? progress.share * 20 : 0;
        if (now % 200 === 0) {
          book.advance({
            evidence: now >= from + evidenceDelay ? bad : REFERENCE_ROWS,
            isLeader: true,
            countTargetInstances: () => 7,
            now,
          });
        }
      }
      assert.equal(book.find("booking")?.state, "reverted");
      assert.equal(reachedFullShare, from >= 16_000 * 0.47);
      assert.ok(exposed < 0.1 * 16_000, `${exposed} of 16000`);
    });
  }

  test("a retry prefers the version that is not the target", () => {
    const { book } = simulateRollout(REFERENCE_ROWS, 16_000 * 0.48);
    const choice = book.chooseVersion("booking", "any", 0);
    assert.equal(choice.isPreferred("v2"), true);
    assert.equal(choice.isPreferredForRetry("v2"), false);
    assert.equal(choice.isPreferredForRetry("v1"), true);
  });

  // Guards against a leader that is paused, cut off or killed during the short full share.
  test("a daemon that learns of no later step ends a raised share by itself", () => {
    const book = createRolloutRegistry();
    book.addOrder(ORDER, 5, 0);
    const fullShareAt = 16_000 * 0.47;
    book.mergeProgress({
      service: "booking",
      targetVersion: "v2",
      orderOffset: 5,
      step: 2,
      share: 1,
      state: "running",
      isStored: false,
    }, fullShareAt);
    const countPreferred = (now: number) =>
      Array.from({ length: 2_000 }, (_, index) => `call-${index}`)
        .filter((identity) =>
          book.chooseVersion("booking", identity, now).isPreferred("v2")
        ).length;
    assert.equal(countPreferred(fullShareAt), 2_000);
    // The step is planned for 560 ms; a tenth of the calls of 16 s is 1.6 s at the full share.
    assert.ok(countPreferred(fullShareAt + 1_000) < 0.1 * 2_000);
  });

  // Guards against a restarted leader that takes the time of its start for that of the order.
  test("a daemon that learns of a rollout from another one continues it on time", () => {
    const before = createRolloutRegistry();
    before.addOrder(ORDER, 5, 0);
    const advance = (book: typeof before, now: number) =>
      book.advance({
        evidence: REFERENCE_ROWS,
        isLeader: true,
        countTargetInstances: () => 7,
        now,
      });
    const stoppedAt = 16_000 * 0.48;
    advance(before, stoppedAt);
    assert.equal(before.find("booking")?.share, 1);
    const after = createRolloutRegistry();
    for (const progress of before.listProgress(stoppedAt)) {
      after.mergeProgress(progress, stoppedAt);
    }
    after.addOrder(ORDER, 5, stoppedAt);
    advance(after, 16_000 * 0.51);
    assert.ok(after.find("booking")!.share < 0.1);
  });

  test("before the first step no call goes to the target version", () => {
    const book = createRolloutRegistry();
    book.addOrder(ORDER, 5, 0);
    assert.equal(book.chooseVersion("booking", "x", 0).isAllowed("v2"), false);
  });
});
