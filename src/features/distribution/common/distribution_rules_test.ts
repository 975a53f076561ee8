import assert from "node:assert/strict";
import { test } from "node:test";
import type { LogEntry } from "../../../world/common/log_record.ts";
import { foldEntries, INITIAL_FOLD_STATE } from "../../fold/common/fold.ts";
import {
  decideFloor,
  isReader,
  isSnapshotDue,
  isStandbyReader,
  rankReaders,
} from "./distribution_rules.ts";
import {
  adoptState,
  applyEntries,
  EMPTY_REPLICA,
  listEntries,
  MAXIMUM_RETAINED_ENTRIES,
} from "./replica.ts";

function entriesOf(...offsets: number[]): LogEntry[] {
  const record = Uint8Array.of(0xc1);
  return offsets.map((offset) => ({ offset, appendedAt: 0, record }));
}

test("entries are folded once and in order, for any order of arrival", () => {
  const cases: {
    batches: number[][];
    position: number;
    held: number;
  }[] = [
    { batches: [[0, 1], [2]], position: 3, held: 0 },
    { batches: [[1], [2], [0]], position: 3, held: 0 },
    { batches: [[0], [2, 3]], position: 1, held: 2 },
    { batches: [[0, 1, 2], [1], [0, 1, 2, 3]], position: 4, held: 0 },
    { batches: [[MAXIMUM_RETAINED_ENTRIES]], position: 0, held: 0 },
  ];
  for (const { batches, position, held } of cases) {
    const replica = batches.reduce(
      (state, batch) => applyEntries(state, entriesOf(...batch)),
      EMPTY_REPLICA,
    );
    const name = JSON.stringify(batches);
    assert.equal(replica.fold.position, position, name);
    assert.equal(replica.held.size, held, name);
    assert.equal(listEntries(replica, 0)?.length, position, name);
  }
});

test("an older state never replaces a newer one, and a newer one is continued with held entries", () => {
  const older = foldEntries(INITIAL_FOLD_STATE, entriesOf(0, 1)).state;
  const replica = applyEntries(EMPTY_REPLICA, entriesOf(0, 1, 2, 5));
  assert.equal(adoptState(replica, older), replica);
  const newer = foldEntries(older, entriesOf(2, 3, 4)).state;
  const adopted = adoptState(replica, newer);
  assert.equal(adopted.fold.position, 6);
  assert.equal(listEntries(adopted, 4), undefined);
});

test("the floor covers the previous version of the host and the versions of ready peers", () => {
  const answer = (hostVersion: number, version: number, isReady: boolean) =>
    ({ kind: "floor", hostVersion, version, isReady }) as const;
  const cases = [
    { answers: [], floor: undefined },
    { answers: [answer(7, 9, false)], floor: undefined },
    { answers: [answer(-1, -1, true)], floor: -1 },
    { answers: [answer(7, 5, true)], floor: 7 },
    { answers: [answer(-1, 5, true), answer(8, 2, false)], floor: 8 },
    { answers: [answer(3, 5, true), answer(-1, 9, false)], floor: 5 },
  ];
  for (const { answers, floor } of cases) {
    assert.equal(decideFloor(answers), floor, JSON.stringify(answers));
  }
});

test("a snapshot is due after 200 records or a quarter of the retention", () => {
  const cases = [
    { last: undefined, position: 0, now: 9_999, isDue: false },
    { last: { position: 0, at: 0 }, position: 199, now: 0, isDue: false },
    { last: { position: 0, at: 0 }, position: 200, now: 0, isDue: true },
    { last: { position: 5, at: 0 }, position: 5, now: 249, isDue: false },
    { last: { position: 5, at: 0 }, position: 5, now: 250, isDue: true },
  ];
  for (const { last, position, now, isDue } of cases) {
    const conditions = { position, now, retentionMilliseconds: 1_000 };
    assert.equal(isSnapshotDue(last, conditions), isDue, `${position} ${now}`);
  }
});

test("each domain has two readers, so the platform's load does not grow with the fleet", () => {
  const hosts = Array.from({ length: 50 }, (_, index) => `h${index}`);
  const ranked = rankReaders("salem", hosts);
  assert.equal(ranked.filter((_, rank) => isReader(rank)).length, 2);
  assert.equal(ranked.filter((_, rank) => isStandbyReader(rank)).length, 2);
  const left = hosts.filter((host) => host !== ranked[0]);
  assert.deepEqual(rankReaders("salem", left), ranked.slice(1));
  assert.equal(isReader(-1), false);
});
