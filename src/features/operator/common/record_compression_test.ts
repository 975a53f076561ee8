import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { compress, decompress } from "../../../base/node/compression.ts";
import { createRecordPacker } from "./record_compression.ts";
import type { DeltaRange } from "./record_delta.ts";

function configurationOf(routes: number): Uint8Array {
  return Buffer.from(JSON.stringify(
    Array.from({ length: routes }, (_, index) => ({
      name: `r-${(index * 7919).toString(36)}`,
      match: { prefix: `/${(index * 104_729).toString(36)}/` },
      action: { service: "booking", timeout_s: 1.5, attempts: 2 },
    })),
  ));
}

function rangeOf(value: Uint8Array): DeltaRange {
  return {
    records: [{ key: "config", offset: 7, value }],
    from: -1,
    position: 8,
  };
}

describe("packing a configuration for a daemon that has none", () => {
  const cases = [
    {
      name: "many routes are compressed to an eighth or less",
      routes: 1_860,
      maximumRatio: 1 / 8,
    },
    {
      name: "a few routes are not larger than before",
      routes: 3,
      maximumRatio: 1,
    },
  ];
  for (const { name, routes, maximumRatio } of cases) {
    test(name, () => {
      const packer = createRecordPacker({ compress, decompress });
      const value = configurationOf(routes);
      const packed = packer.pack(rangeOf(value));
      const [record] = packed.records;
      const bytes = "compressed" in record
        ? record.compressed.length
        : "value" in record
        ? record.value.length
        : NaN;
      assert.ok(bytes <= maximumRatio * value.length, `${bytes} bytes`);
      const restored = packer.unpack(packed)!.records[0];
      assert.ok("value" in restored);
      assert.deepEqual(Buffer.from(restored.value), Buffer.from(value));
    });
  }

  test("a value is compressed once for all requests", () => {
    let calls = 0;
    const packer = createRecordPacker({
      compress(value) {
        calls += 1;
        return compress(value);
      },
      decompress,
    });
    const range = rangeOf(configurationOf(300));
    packer.pack(range);
    packer.pack(range);
    assert.equal(calls, 1);
  });

  test("an invalid compressed value from a peer is rejected", () => {
    const packer = createRecordPacker({ compress, decompress });
    const compressed = Buffer.from("no compressed value");
    assert.equal(
      packer.unpack({
        records: [{ key: "config", offset: 7, compressed }],
        from: -1,
        position: 8,
      }),
      undefined,
    );
  });
});
