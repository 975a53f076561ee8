import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createOperatorRecords, NO_POSITION } from "./operator_records.ts";
import { chooseReader } from "./reader_choice.ts";

const record = (key: string, offset: number) => ({
  key,
  offset,
  value: Buffer.from(String(offset)),
});

describe("applying ranges of the operator's records", () => {
  const cases = [
    {
      name: "contiguous ranges advance the position",
      ranges: [
        { records: [record("a", 0)], from: NO_POSITION, position: 1 },
        { records: [record("a", 1), record("b", 2)], from: 1, position: 3 },
      ],
      position: 3,
    },
    {
      name: "a range after a gap does not advance the position",
      ranges: [
        { records: [record("a", 0)], from: NO_POSITION, position: 1 },
        { records: [record("a", 4)], from: 4, position: 5 },
      ],
      position: 1,
    },
    {
      name: "an older record that arrives late changes nothing",
      ranges: [
        { records: [record("a", 6)], from: NO_POSITION, position: 7 },
        { records: [record("a", 2)], from: 2, position: 3 },
      ],
      position: 7,
    },
  ];
  for (const { name, ranges, position } of cases) {
    test(name, () => {
      const records = createOperatorRecords();
      for (const range of ranges) {
        records.apply(range);
      }
      assert.equal(records.position, position);
      const newest = Math.max(
        ...ranges.flatMap(({ records }) =>
          records.filter(({ key }) => key === "a").map(({ offset }) => offset)
        ),
      );
      assert.equal(
        records.listSince(0).find(({ key }) => key === "a")?.offset,
        newest,
      );
    });
  }
});

describe("the reader of a failure domain", () => {
  const candidate = (host: string, reachesStore = true) => ({
    host,
    failureDomain: "east",
    reachesStore,
  });
  const all = ["a", "b", "c", "d"].map((host) => candidate(host));

  test("all daemons choose the same one", () => {
    assert.equal(
      chooseReader("east", all),
      chooseReader("east", [...all].reverse()),
    );
  });

  test("a daemon that does not reach the store is not chosen", () => {
    const chosen = chooseReader("east", all)!;
    const without = all.map((each) =>
      each.host === chosen ? candidate(chosen, false) : each
    );
    const next = chooseReader("east", without);
    assert.ok(next !== undefined && next !== chosen);
  });

  test("no reader is chosen if no daemon reaches the store", () => {
    assert.equal(
      chooseReader("east", all.map(({ host }) => candidate(host, false))),
      undefined,
    );
    assert.equal(chooseReader("west", all), undefined);
  });
});
