import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createBinaryHeap } from "./binary_heap.ts";
import { createRandomSource } from "./random_source.ts";

describe("a binary heap returns its elements in order", () => {
  const random = createRandomSource(7);
  const cases: readonly (readonly number[])[] = [
    [],
    [1],
    [2, 1],
    [3, 3, 1, 2, 2],
    Array.from({ length: 500 }, () => random.nextInteger(100)),
  ];
  for (const elements of cases) {
    test(`${elements.length} elements`, () => {
      const heap = createBinaryHeap<number>((left, right) => left - right);
      const popped: number[] = [];
      // Half of the elements are removed in between, so that removals and insertions alternate.
      const expected: number[] = [];
      const rest: number[] = [];
      for (const [index, element] of elements.entries()) {
        heap.push(element);
        rest.push(element);
        if (index % 2 === 1) {
          rest.sort((left, right) => left - right);
          expected.push(rest.shift()!);
          popped.push(heap.pop()!);
        }
      }
      while (heap.size > 0) {
        assert.equal(heap.peek(), Math.min(...rest));
        rest.sort((left, right) => left - right);
        expected.push(rest.shift()!);
        popped.push(heap.pop()!);
      }
      assert.deepEqual(popped, expected);
      assert.equal(heap.pop(), undefined);
    });
  }
});
