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
  reachesStore: true,
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
  reachesStore: false,
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

function transmit(message: LinkMessage): LinkMessage {
  return decodeMessage(encodeMessage(message), "test").unwrap() as LinkMessage;
}

describe("the status that daemons tell each other", () => {
  // Guards against a value that lands in the place of another one in the row.
  const cases = [
    { name: "a host without an instance", status: IDLE },
    { name: "a host with all that can be told", status: BUSY },
    {
      name: "a host with evidence and nothing departed",
      status: { ...BUSY, departed: [], rollouts: [] },
    },
    { name: "a host in a calm time", status: { ...BUSY, evidence: [] } },
  ];
  for (const { name, status } of cases) {
    test(`${name} arrives as it was`, () => {
      assert.deepEqual(decodeStatus(transmit(encodeStatus(status))), status);
    });
  }

  for (const row of [undefined, "row", [], [null, 1, 2, true, false]]) {
    test(`a status of another release is not taken: ${JSON.stringify(row)}`, () => {
      const message = { kind: STATUS_KIND, row } as LinkMessage;
      assert.equal(decodeStatus(message), undefined);
    });
  }

  test("a calm status of a host with an instance takes under 100 bytes", () => {
    const calm = { ...BUSY, departed: [], rollouts: [], evidence: [] };
    assert.ok(encodeMessage(encodeStatus(calm)).length < 100);
  });
});
