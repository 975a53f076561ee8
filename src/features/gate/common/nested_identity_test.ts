import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { findClosestParents } from "./nested_identity.ts";

// Guards against requests of clients that count as nested calls of another request whose identity merely
// occurs in theirs.
describe("the parents of a call, by its identity", () => {
  const cases: readonly {
    readonly name: string;
    readonly identity: string;
    readonly running: readonly string[];
    readonly parents: readonly string[];
  }[] = [
    {
      name: "a suffix after a separator",
      identity: "9c41d07b.bed25fd4",
      running: ["9c41d07b", "ab41d07b"],
      parents: ["9c41d07b"],
    },
    {
      name: "a prefix before a separator",
      identity: "nested.9c41d07b",
      running: ["9c41d07b"],
      parents: ["9c41d07b"],
    },
    {
      name: "an identity that ends with a running one",
      identity: "1471-1",
      running: ["471-1"],
      parents: [],
    },
    {
      name: "an identity that begins with a running one",
      identity: "471-12",
      running: ["471-1"],
      parents: [],
    },
    {
      name: "the identity of a running one",
      identity: "471-1",
      running: ["471-1"],
      parents: [],
    },
    {
      name: "a part of a running one",
      identity: "471-1",
      running: ["471-1.2"],
      parents: [],
    },
    {
      name: "a later occurrence that is a whole part",
      identity: "1471-1.471-1",
      running: ["471-1"],
      parents: ["471-1"],
    },
    {
      name: "letters beyond ASCII around a running one",
      identity: "é471-1",
      running: ["471-1"],
      parents: [],
    },
    {
      name: "a nested call of a nested call",
      identity: "a1.b2.c3",
      running: ["a1", "a1.b2", "a1"],
      parents: ["a1.b2"],
    },
    {
      name: "two running ones with the same identity",
      identity: "a1.b2",
      running: ["a1", "a1"],
      parents: ["a1", "a1"],
    },
    {
      name: "an empty identity",
      identity: "a1",
      running: [""],
      parents: [],
    },
  ];
  for (const { name, identity, running, parents } of cases) {
    test(name, () => {
      const found = findClosestParents(
        identity,
        running.map((requestIdentity) => ({ request: { requestIdentity } })),
      );
      assert.deepEqual(
        found.map(({ request }) => request.requestIdentity),
        parents,
      );
    });
  }
});
