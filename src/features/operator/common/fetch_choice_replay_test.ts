import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { chooseFetchSource, computeFetchRetryDelay } from "./fetch_choice.ts";

const HOSTS = 68;
const DOMAINS = 4;
const VERSION_BYTES = 75_000;
/** 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875;
const STATUS_INTERVAL_MS = 1_000;

/** Simulates how a version that host 0 has read spreads to all hosts; times in milliseconds. */
function replay(rule: "spread" | "first-source"): {
  readonly lastAt: number;
  readonly longestQueue: number;
} {
  const clock = new VirtualClock();
  const random = createRandomSource(4);
  const hasVersion = Array.from({ length: HOSTS }, (_, host) => host === 0);
  const linkFreeAt = Array.from({ length: HOSTS }, () => 0);
  const domainOf = (host: number) => `domain-${host % DOMAINS}`;
  let lastAt = 0;
  let longestQueue = 0;

  function answer(source: number, requester: number): void {
    const startAt = Math.max(clock.now(), linkFreeAt[source]);
    linkFreeAt[source] = startAt + VERSION_BYTES / LINK_BYTES_PER_MS;
    longestQueue = Math.max(longestQueue, linkFreeAt[source] - clock.now());
    clock.schedule(linkFreeAt[source] - clock.now(), () => {
      if (!hasVersion[requester]) {
        hasVersion[requester] = true;
        lastAt = clock.now();
      }
    });
  }

  function ask(requester: number, requests: number, lastSource?: string): void {
    if (hasVersion[requester]) {
      return;
    }
    const sources = hasVersion
      .map((has, host) => ({ has, host: String(host) }))
      .filter(({ has }) => has)
      .map(({ host }) => ({
        host,
        failureDomain: domainOf(Number(host)),
        isOverdue: false,
      }));
    const source = rule === "spread"
      ? chooseFetchSource(sources, {
        ownFailureDomain: domainOf(requester),
        lastSource,
      }, random)!
      : sources.find(({ host }) => host === "0")!;
    answer(Number(source.host), requester);
    const delay = rule === "spread"
      ? computeFetchRetryDelay(requests + 1)
      : 250;
    clock.schedule(delay, () => ask(requester, requests + 1, source.host));
  }

  for (let host = 1; host < HOSTS; host += 1) {
    clock.schedule(
      random.nextFraction() * STATUS_INTERVAL_MS,
      () => ask(host, 0),
    );
  }
  clock.advance(60_000);
  assert.ok(hasVersion.every((has) => has));
  return { lastAt, longestQueue };
}

test("a version that one of 68 daemons on slow links has read reaches all of them within 2.5 s", (context) => {
  const spread = replay("spread");
  const simple = replay("first-source");
  context.diagnostic(`spread ${JSON.stringify(spread)}`);
  context.diagnostic(`first source ${JSON.stringify(simple)}`);
  assert.ok(spread.lastAt < 2_500);
  assert.ok(simple.lastAt > 2 * spread.lastAt);
  assert.ok(spread.longestQueue < simple.longestQueue / 2);
});

describe("the daemon from which missing records are fetched", () => {
  const source = (host: string, failureDomain: string, isOverdue = false) => ({
    host,
    failureDomain,
    isOverdue,
  });
  const cases = [
    { name: "no source is known", sources: [], expected: undefined },
    {
      name: "the own failure domain is preferred",
      sources: [source("a", "east"), source("b", "west")],
      expected: "b",
    },
    {
      name: "a different one than the last source, which has not answered",
      sources: [source("a", "east"), source("b", "west")],
      lastSource: "b",
      expected: "a",
    },
    {
      name: "one of another failure domain rather than an overdue one",
      sources: [source("a", "east"), source("b", "west", true)],
      expected: "a",
    },
    {
      name: "an overdue one if there is no other",
      sources: [source("b", "west", true)],
      expected: "b",
    },
    {
      name: "the last source again if it is the only one",
      sources: [source("b", "west")],
      lastSource: "b",
      expected: "b",
    },
  ];
  for (const { name, sources, lastSource, expected } of cases) {
    test(name, () => {
      const chosen = chooseFetchSource(
        sources,
        { ownFailureDomain: "west", lastSource },
        createRandomSource(1),
      );
      assert.equal(chosen?.host, expected);
    });
  }
});
