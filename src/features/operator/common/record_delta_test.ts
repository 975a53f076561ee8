import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  applyDelta,
  computeDelta,
  decodeDeltas,
  encodeDeltas,
} from "./record_delta.ts";

const ROUTES = 300;

function configuration(
  version: number,
  change: (index: number) => object | undefined = () => undefined,
): Buffer {
  const routes = Array.from({ length: ROUTES }, (_, index) => ({
    name: `route-${index}`,
    match: { prefix: `/path-${index}/` },
    action: { service: "booking", timeout: 1, attempts: 2 },
    ...change(index),
  }));
  return Buffer.from(JSON.stringify({ version, routes }));
}

describe("a version that differs in some routes is encoded as a small delta", () => {
  const base = configuration(1);
  const without = JSON.stringify({
    version: 2,
    routes: JSON.parse(base.toString()).routes.slice(3),
  });
  const cases = [
    { name: "only the version", next: configuration(2) },
    {
      name: "one route",
      next: configuration(
        2,
        (index) => index === 150 ? { action: { service: "é" } } : undefined,
      ),
    },
    {
      name: "every tenth route",
      next: configuration(
        2,
        (index) => index % 10 === 0 ? { weight: index } : undefined,
      ),
    },
    { name: "routes removed", next: Buffer.from(without) },
  ];
  for (const { name, next } of cases) {
    test(name, () => {
      const parts = computeDelta(base, next)!;
      assert.deepEqual(Buffer.from(applyDelta(base, parts)), next);
      const bytes = parts.reduce(
        (sum, part) => sum + (part instanceof Uint8Array ? part.length : 10),
        0,
      );
      assert.ok(bytes < next.length / 4, `${bytes} of ${next.length} bytes`);
    });
  }

  test("a value that has little in common with the base has no delta", () => {
    const other = Buffer.from("{".repeat(20) + "other".repeat(100));
    assert.equal(computeDelta(base, other), undefined);
  });
});

describe("a range of deltas is decoded only with the base records from which it was computed", () => {
  const record = (offset: number) => ({
    key: "config",
    offset,
    value: configuration(offset),
  });
  const range = { records: [record(8)], from: 5, position: 9 };
  const sent = encodeDeltas(range, () => record(5));
  const cases = [
    { name: "the base record is stored", stored: record(5), isDecoded: true },
    { name: "an older record is stored", stored: record(4), isDecoded: false },
    { name: "no record is stored", stored: undefined, isDecoded: false },
  ];
  for (const { name, stored, isDecoded } of cases) {
    test(name, () => {
      const restored = decodeDeltas(sent, () => stored);
      assert.equal(restored !== undefined, isDecoded);
      if (restored !== undefined) {
        assert.deepEqual(
          Buffer.from(restored.records[0].value),
          range.records[0].value,
        );
        assert.equal(restored.position, 9);
      }
    });
  }
});
