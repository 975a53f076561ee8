import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createInstanceRateLimit } from "./instance_rate_limit.ts";
import type { NamedRateLimit } from "./named_rate_limit.ts";

const INSTANCE = { identity: "i-1", startedAt: 5 };

function createWithAnnouncements() {
  const rateLimit = createInstanceRateLimit();
  const announced: NamedRateLimit[] = [];
  rateLimit.onChanged((limit) => announced.push(limit));
  return { rateLimit, announced };
}

describe("the rate limit of an instance", () => {
  test("is announced in the end, also when it changed shortly after it was announced", () => {
    const { rateLimit, announced } = createWithAnnouncements();
    rateLimit.applyNotice(60, INSTANCE, 0);
    for (let now = 10; now <= 1_000; now += 10) {
      rateLimit.applyNotice(20, INSTANCE, now);
    }
    assert.deepEqual(announced.map(({ perSecond }) => perSecond), [60, 20]);
  });

  test("is announced at most twice a second and not for small changes", () => {
    const { rateLimit, announced } = createWithAnnouncements();
    for (let now = 0; now < 2_000; now += 10) {
      rateLimit.applyNotice(20 + now % 100, INSTANCE, now);
    }
    assert.ok(announced.length <= 4);
    const { rateLimit: stable, announced: few } = createWithAnnouncements();
    for (let now = 0; now < 2_000; now += 10) {
      stable.applyNotice(60 + now % 4, INSTANCE, now);
    }
    assert.equal(few.length, 1);
  });

  const restoreCases = [
    { name: "before its instance is known", isKnown: false, startedAt: 5 },
    { name: "after its instance is known", isKnown: true, startedAt: 5 },
    {
      name: "not for a later start of the instance",
      isKnown: false,
      startedAt: 4,
    },
  ];
  for (const { name, isKnown, startedAt } of restoreCases) {
    test(`is restored ${name}`, () => {
      const { rateLimit } = createWithAnnouncements();
      const limit = { instance: INSTANCE.identity, startedAt, perSecond: 20 };
      if (isKnown) {
        rateLimit.handleNewInstance(INSTANCE, 0);
        rateLimit.restore(limit, INSTANCE, 1);
      } else {
        rateLimit.restore(limit, undefined, 0);
        rateLimit.handleNewInstance(INSTANCE, 1);
      }
      assert.equal(rateLimit.rate.limit, startedAt === 5 ? 20 : undefined);
    });
  }

  test("that the instance has named since then is not replaced by a restored one", () => {
    const { rateLimit } = createWithAnnouncements();
    rateLimit.handleNewInstance(INSTANCE, 0);
    rateLimit.applyNotice(30, INSTANCE, 1);
    rateLimit.restore(
      { instance: INSTANCE.identity, startedAt: 5, perSecond: 20 },
      INSTANCE,
      2,
    );
    assert.equal(rateLimit.rate.limit, 30);
  });

  test("stays as it was after a value that cannot be used, and ends without one", () => {
    const { rateLimit } = createWithAnnouncements();
    rateLimit.applyNotice(30, INSTANCE, 0);
    rateLimit.applyNotice("unknown", INSTANCE, 1);
    assert.equal(rateLimit.rate.limit, 30);
    rateLimit.applyNotice("none", INSTANCE, 2);
    assert.equal(rateLimit.rate.limit, undefined);
  });
});
