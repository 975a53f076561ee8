import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { AccountWeights } from "../common/account_shares.ts";
import { createAdmissionFixture } from "./admission_fixture.ts";

describe("accounts that are removed from the configuration while a call runs", () => {
  // Guards against state of an account that counts a call as running forever and is never forgotten.
  test("have the slot time of the call once they are configured again", () => {
    let sharesByAccount = true;
    const { admission, started, offer, end } = createAdmissionFixture(
      1,
      { sharesByAccount: () => sharesByAccount },
    );
    offer("slow", "slow-1");
    sharesByAccount = false;
    end(2_000);
    sharesByAccount = true;
    for (const identity of ["quick-1", "quick-2", "quick-3"]) {
      offer("quick", identity);
      end(20);
    }
    offer("other", "other-1");
    offer("slow", "slow-2");
    offer("quick", "quick-4");
    end(20);
    assert.deepEqual(started.slice(-2), ["other-1", "quick-4"]);
    admission.dispose();
  });
});

describe("a call that may be returned", () => {
  // Guards against a gate that callers leave out for all accounts because it returned the call of one of them.
  test("is returned as above its share if its account has used more than its share", () => {
    const { admission, offer, end } = createAdmissionFixture(1);
    for (const account of ["light", "other"]) {
      offer(account, account);
      end(20);
    }
    for (let index = 0; index < 20; index += 1) {
      offer("heavy", `heavy-${index}`);
      end(500);
    }
    offer("other", "running");
    const returnable = {
      mayBeReturned: true,
      objectiveInMilliseconds: 150,
    } as const;
    const reasons = ["light", "heavy"].map((account) =>
      offer(account, `${account}-last`, returnable).map((outcome) =>
        outcome.type === "refused" && outcome.reason
      )
    );
    assert.deepEqual(reasons, [["full"], ["above-share"]]);
    admission.dispose();
  });

  // Guards against calls that are returned because of others that leave the queue at the same time.
  test("stays in the queue if it starts early enough once calls ahead are returned", () => {
    const { admission, clock, condition, offer } = createAdmissionFixture(
      1,
      { sharesByAccount: () => false },
    );
    offer("a", "running");
    const ahead = Array.from(
      { length: 3 },
      (_, index) =>
        offer("a", `ahead-${index}`, {
          mayBeReturned: true,
          objectiveInMilliseconds: 2_400,
        }),
    );
    const behind = offer("a", "behind", {
      mayBeReturned: true,
      objectiveInMilliseconds: 7_000,
    });
    assert.equal(admission.waiting, 4);
    clock.advance(39);
    // A queued call now waits for half a second for each call ahead.
    condition.momentarySpeed.record(20, clock.now());
    clock.advance(1);
    assert.deepEqual(ahead.map(({ length }) => length), [1, 1, 1]);
    assert.equal(behind.length, 0);
    assert.equal(admission.waiting, 1);
    admission.dispose();
  });
});

describe("a slot that is kept from queued long calls", () => {
  /** Offers long calls after urgent ones, so that the last of them wait beside a free slot. */
  function createKeptSlot(longCalls: number, weighAccount?: AccountWeights) {
    const fixture = createAdmissionFixture(4, { weighAccount });
    const { offer, end } = fixture;
    for (let index = 0; index < 60; index += 1) {
      offer("urgent", `urgent-${index}`, {
        rank: 0,
        meanServiceMilliseconds: 30,
        objectiveInMilliseconds: 100,
        deadlineInMilliseconds: 100,
      });
      end(30);
    }
    for (let index = 0; index < 20; index += 1) {
      offer("short", `short-${index}`, { meanServiceMilliseconds: 30 });
      end(30);
    }
    for (let index = 0; index < longCalls; index += 1) {
      offer(`long-${index}`, `long-${index}`, { meanServiceMilliseconds: 500 });
    }
    return fixture;
  }

  const SHORT = {
    meanServiceMilliseconds: 30,
    objectiveInMilliseconds: 60,
    deadlineInMilliseconds: 60,
  };

  // Guards against calls that are refused or wait for the next sweep beside a free slot.
  test("is used at once by a short call that is behind the long one in the queue", () => {
    const { admission, started, offer } = createKeptSlot(4);
    assert.equal(started.at(-1), "long-2");
    assert.equal(admission.waiting, 1);
    offer("short", "last", SHORT);
    assert.equal(started.at(-1), "last");
    assert.equal(admission.waiting, 1);
    admission.dispose();
  });

  // Guards against processor time for an order of all queued calls that is built again for each question about it.
  test("an offer builds the order of the queued calls once", () => {
    let weighed = 0;
    const { admission, started, offer } = createKeptSlot(6, () => {
      weighed += 1;
      return 1;
    });
    assert.equal(admission.waiting, 3);
    weighed = 0;
    offer("short", "last", SHORT);
    assert.equal(started.at(-1), "last");
    // An order weighs each account once: those of three queued calls and that of the offered one.
    assert.equal(weighed, 4);
    admission.dispose();
  });
});
