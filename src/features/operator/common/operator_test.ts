import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createOperatorRecords, NO_POSITION } from "./operator_records.ts";
import { chooseReaders } from "./reader_choice.ts";

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
      const records = createOperatorRecords({
        locate: (position) => ({ era: 0, offset: position }),
        isPermanent: () => false,
      });
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

describe("the readers of a failure domain", () => {
  const candidate = (
    host: string,
    isAvailable = true,
    isReachable = true,
  ) => ({
    host,
    failureDomain: "east",
    isAvailable,
    isReachable,
  });
  const all = ["a", "b", "c", "d"].map((host) => candidate(host));

  test("all daemons choose the same two", () => {
    const chosen = chooseReaders("east", all);
    assert.equal(new Set(chosen).size, 2);
    assert.deepEqual(chosen, chooseReaders("east", [...all].reverse()));
  });

  test("a daemon that is not available is not chosen, and the other reader stays", () => {
    const [first, second] = chooseReaders("east", all);
    const without = all.map((each) =>
      each.host === first ? candidate(first, false) : each
    );
    const next = chooseReaders("east", without);
    assert.equal(next[0], second);
    assert.equal(next.length, 2);
    assert.ok(!next.includes(first));
  });

  test("no reader is chosen if no daemon is reachable", () => {
    assert.deepEqual(
      chooseReaders(
        "east",
        all.map(({ host }) => candidate(host, false, false)),
      ),
      [],
    );
    assert.deepEqual(chooseReaders("west", all), []);
  });

  test("two reachable daemons are chosen if none is available", () => {
    const [first, second] = chooseReaders("east", all);
    const chosen = chooseReaders(
      "east",
      all.map(({ host }) => candidate(host, false, host !== first)),
    );
    assert.equal(chosen.length, 2);
    assert.equal(chosen[0], second);
    assert.ok(!chosen.includes(first));
  });
});
