import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/common/message_codec.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import {
  decodeStatus,
  encodeStatus,
  type HostStatus,
  STATUS_KIND,
} from "./fleet_messages.ts";

const IDLE: HostStatus = {
  instance: undefined,
  load: {
    running: 0,
    waiting: 0,
    limit: 0,
    relativeServiceTime: 1,
    failureRate: 0,
  },
  departed: [],
  position: -1,
  isAvailable: true,
  isStopping: false,
  rollouts: [],
  evidence: [],
};
const BUSY: HostStatus = {
  instance: {
    identity: "i-7f3a91c2",
    service: "booking",
    version: "v1",
    isServing: true,
    coldForMilliseconds: 1_200,
  },
  load: {
    running: 9,
    waiting: 3,
    limit: 14,
    relativeServiceTime: 1.25,
    failureRate: 0,
  },
  departed: [{ identity: "i-1", startedAt: 5 }],
  position: 40,
  isAvailable: false,
  isStopping: true,
  rollouts: [{
    service: "booking",
    targetVersion: "v2",
    orderOffset: 3,
    step: 1,
    share: 0.25,
    state: "running",
    isStored: false,
  }],
  evidence: [{
    route: "lookup",
    calls: 10,
    failures: 1,
    warmMilliseconds: 900,
    warmCalls: 9,
  }],
};

function roundTrip(message: LinkMessage): LinkMessage {
  return decodeMessage(encodeMessage(message), "test").unwrap() as LinkMessage;
}

describe("encoding and decoding of a host status", () => {
  // Guards against values that are swapped or shifted within the row.
  const cases = [
    { name: "a host without an instance", status: IDLE },
    { name: "a host with all fields set", status: BUSY },
    {
      name: "a host with evidence and no departed instances",
      status: { ...BUSY, departed: [], rollouts: [] },
    },
    { name: "a host without evidence", status: { ...BUSY, evidence: [] } },
  ];
  for (const { name, status } of cases) {
    test(`the status of ${name} survives a round trip`, () => {
      assert.deepEqual(decodeStatus(roundTrip(encodeStatus(status))), status);
    });
  }

  for (const row of [undefined, "row", [], [null, 1, 2, true, false]]) {
    test(`a status of another release is not decoded: ${JSON.stringify(row)}`, () => {
      const message = { kind: STATUS_KIND, row } as LinkMessage;
      assert.equal(decodeStatus(message), undefined);
    });
  }

  test("a status with empty lists takes under 100 bytes", () => {
    const withEmptyLists = {
      ...BUSY,
      departed: [],
      rollouts: [],
      evidence: [],
    };
    assert.ok(encodeMessage(encodeStatus(withEmptyLists)).length < 100);
  });
});
