import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/common/message_codec.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { GateOutcome, GateRequest } from "./gate_call.ts";
import {
  decodeLoad,
  decodeOffer,
  decodeOutcome,
  encodeLoad,
  encodeOffer,
  encodeOutcome,
} from "./gate_messages.ts";

const REQUEST: GateRequest = {
  identity: "host@1#7",
  requestIdentity: "9c41d07be2a35f68",
  service: "booking",
  version: undefined,
  route: "reserve",
  method: "POST",
  target: "/reserve/1?x=2",
  headerLines: "Host: a.example\r\nX-Name: \u00e9\r\n",
  body: Buffer.from("body"),
  callerService: "dispatch",
  isNested: true,
  rank: 1,
  objectiveInMilliseconds: 300.5,
  deadlineInMilliseconds: 800.25,
  meanServiceMilliseconds: 90,
};

/** Encodes and decodes a message as a link does. */
function transmit(message: LinkMessage): LinkMessage {
  return decodeMessage(encodeMessage(message), "test").unwrap() as LinkMessage;
}

describe("messages between a caller's daemon and a gate", () => {
  // Guards against values that are swapped in the positional encoding.
  for (const version of [undefined, "v2"]) {
    test(`an offer for version ${version} is decoded unchanged`, () => {
      const request = { ...REQUEST, version };
      const offer = { request, sentAt: 1_234.5 };
      assert.deepEqual(decodeOffer(transmit(encodeOffer(offer))), offer);
    });
  }

  // Guards against an account and a permission to return that are taken for each other.
  const optionalParts: readonly (readonly [Partial<GateRequest>, number])[] = [
    [{}, 15],
    [{ account: "county" }, 16],
    [{ mayBeReturned: true }, 17],
    [{ account: "county", mayBeReturned: true }, 17],
  ];
  for (const [parts, length] of optionalParts) {
    test(`an offer with ${JSON.stringify(parts)} has ${length} parts`, () => {
      const offer = { request: { ...REQUEST, ...parts }, sentAt: 1 };
      const message = encodeOffer(offer);
      assert.equal(message.row.length, length);
      assert.deepEqual(decodeOffer(transmit(message)), offer);
    });
  }

  const outcomes: readonly GateOutcome[] = [
    {
      type: "answer",
      status: 200,
      rawHeaders: ["X-Seal", "s"],
      body: Buffer.from("whole"),
      serviceMilliseconds: 12.5,
      wasNestedRefused: true,
    },
    { type: "refused", reason: "full", retryAfter: 40, reachedInstance: false },
    { type: "failed", reason: "reset" },
  ];
  for (const outcome of outcomes) {
    test(`the outcome ${outcome.type} is decoded unchanged`, () => {
      const message = {
        identity: REQUEST.identity,
        outcome,
        load: {
          running: 3,
          waiting: 1,
          limit: 14,
          relativeServiceTime: 0.7,
          failureRate: 0,
        },
      };
      assert.deepEqual(
        decodeOutcome(transmit(encodeOutcome(message))),
        message,
      );
    });
  }

  // Daemons of the release before read rows of five figures only.
  for (const [currentServiceTime, length] of [[undefined, 5], [2.5, 6]]) {
    test(`a load with the momentary service time ${currentServiceTime} has ${length} figures`, () => {
      const load = {
        running: 3,
        waiting: 1,
        limit: 14,
        relativeServiceTime: 0.7,
        failureRate: 0,
        ...(currentServiceTime === undefined ? {} : { currentServiceTime }),
      };
      const row = encodeLoad(load);
      assert.equal(row.length, length);
      assert.deepEqual(decodeLoad(row), load);
    });
  }

  test("a row with an unusable momentary service time is read without it", () => {
    const decoded = decodeLoad([3, 1, 14, 70, 0, 0]);
    assert.equal(decoded?.limit, 14);
    assert.equal(decoded?.currentServiceTime, undefined);
  });

  const malformed: readonly Record<string, unknown>[] = [
    { kind: "gate.offer" },
    { kind: "gate.offer", row: ["too", "short"], sentAt: 1 },
    { kind: "gate.offer", row: Array(15).fill("no instant") },
    {
      kind: "gate.outcome",
      identity: "i",
      row: ["answer"],
      load: [0, 0, 0, 1],
    },
    {
      kind: "gate.outcome",
      identity: "i",
      row: ["other", 1],
      load: [0, 0, 0, 1],
    },
    { kind: "gate.outcome", identity: "i", row: ["failed", "x"] },
  ];
  for (const [index, message] of malformed.entries()) {
    test(`malformed message ${index} is not decoded`, () => {
      const received = message as unknown as LinkMessage;
      assert.equal(
        message.kind === "gate.offer"
          ? decodeOffer(received)
          : decodeOutcome(received),
        undefined,
      );
    });
  }
});
