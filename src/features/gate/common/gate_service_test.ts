import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createDisposable } from "../../../base/common/disposable.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { Gate } from "./gate.ts";
import type { GateOutcome, GateRequest } from "./gate_call.ts";
import { CANCEL_KIND, decodeOutcome, encodeOffer } from "./gate_messages.ts";
import { createGateService } from "./gate_service.ts";

const PEER = { process: { host: "caller", startedAt: 1 }, failureDomain: "x" };
const REQUEST: GateRequest = {
  identity: "caller@1#1",
  requestIdentity: "r1",
  service: "booking",
  version: undefined,
  route: "lookup",
  method: "GET",
  target: "/",
  headerLines: "",
  body: Buffer.alloc(0),
  callerService: "booking",
  isNested: false,
  rank: 1,
  objectiveInMilliseconds: 300,
  deadlineInMilliseconds: 800,
  meanServiceMilliseconds: 90,
};

function startService(
  isStalled: boolean,
  answer: () => GateOutcome | undefined = () => undefined,
  workTime = Infinity,
) {
  const handlers = new Map<string, (message: LinkMessage) => void>();
  const pending: (() => void)[] = [];
  const offered: GateRequest[] = [];
  const sent: LinkMessage[] = [];
  createGateService({
    clock: new VirtualClock(1_000),
    log: SILENT_LOG,
    network: {
      onMessage(
        kind: string,
        handler: (peer: typeof PEER, message: LinkMessage) => void,
      ) {
        handlers.set(kind, (message) => handler(PEER, message));
        return createDisposable(() => {});
      },
      onRequest: () => createDisposable(() => {}),
      onLinkOpened: () => createDisposable(() => {}),
      send(_: string, message: LinkMessage) {
        encodeMessage(message);
        sent.push(message);
        return true;
      },
    } as unknown as PeerNetwork,
    gate: {
      offer(request: GateRequest, settle: (outcome: GateOutcome) => void) {
        offered.push(request);
        const outcome = answer();
        if (outcome !== undefined) {
          settle(outcome);
        }
        return { cancel() {} };
      },
      load: {
        running: 0,
        waiting: 0,
        limit: 1,
        relativeServiceTime: 1,
        failureRate: 0,
      },
    } as unknown as Gate,
    loopDelay: () => isStalled ? 600 : 0,
    isStalled: () => isStalled,
    remainingWorkTime: () => workTime,
    afterPendingEvents: (callback) => void pending.push(callback),
  });
  return {
    offered,
    sent,
    receive: (message: LinkMessage) => handlers.get(message.kind)!(message),
    async endRead() {
      await Promise.resolve();
    },
    endTurn: () => pending.splice(0).forEach((callback) => callback()),
  };
}

// Guards against an exception that ends the process of the gate, or leaves the caller's daemon without an outcome.
describe("a call that cannot be handled gets a failure as its outcome", () => {
  const offer = encodeOffer({ request: REQUEST, sentAt: 5 });
  const answer: GateOutcome = {
    type: "answer",
    status: 200,
    rawHeaders: [],
    // A value that the codec of the links cannot encode.
    body: Symbol("body") as unknown as Uint8Array,
    serviceMilliseconds: 1,
    wasNestedRefused: false,
  };
  const cases: readonly [string, () => GateOutcome][] = [
    ["the gate throws", () => {
      throw new Error("cannot offer");
    }],
    ["its outcome cannot be sent", () => answer],
  ];
  for (const [name, settle] of cases) {
    test(name, async () => {
      const service = startService(false, settle);
      service.receive(offer);
      await service.endRead();
      const outcomes = service.sent.map(decodeOutcome);
      assert.deepEqual(outcomes.map((each) => each?.outcome.type), ["failed"]);
    });
  }
});

// Guards against a call that another gate could serve and that the end of this daemon cuts.
describe("an offer to a daemon that stops", () => {
  const offer = encodeOffer({ request: REQUEST, sentAt: 5 });
  const cases = [
    { workTime: 1_000, isTaken: true },
    { workTime: 80, isTaken: false },
  ];
  for (const { workTime, isTaken } of cases) {
    test(`is ${isTaken ? "taken" : "refused"} with ${workTime} ms left for a call that usually takes ${REQUEST.meanServiceMilliseconds} ms`, async () => {
      const service = startService(false, () => undefined, workTime);
      service.receive(offer);
      await service.endRead();
      assert.equal(service.offered.length, isTaken ? 1 : 0);
      const outcomes = service.sent.map(decodeOutcome);
      assert.deepEqual(
        outcomes.map((each) => each?.outcome.type),
        isTaken ? [] : ["refused"],
      );
    });
  }
});

// Guards against running a call whose cancellation has already arrived after its offer.
describe("an offer followed by its cancellation", () => {
  const cancel = { kind: CANCEL_KIND, identity: REQUEST.identity };
  const offer = encodeOffer({ request: REQUEST, sentAt: 5 });
  const cases = [
    { name: "in the same read", isStalled: false, inLaterRead: false, runs: 0 },
    { name: "in a later read", isStalled: false, inLaterRead: true, runs: 1 },
    {
      name: "in a later read after a stall",
      isStalled: true,
      inLaterRead: true,
      runs: 0,
    },
  ];
  for (const { name, isStalled, inLaterRead, runs } of cases) {
    test(`${name} is passed to the gate ${runs} times`, async () => {
      const service = startService(isStalled);
      service.receive(offer);
      if (inLaterRead) {
        await service.endRead();
      }
      service.receive(cancel as LinkMessage);
      await service.endRead();
      service.endTurn();
      assert.equal(service.offered.length, runs);
    });
  }

  test("without a cancellation the call is passed on after a stall, with its deadline reduced", async () => {
    const service = startService(true);
    service.receive(offer);
    await service.endRead();
    service.endTurn();
    assert.equal(service.offered[0].deadlineInMilliseconds, 200);
  });
});

// Guards against unbounded memory for large responses that are retained until their deadline.
test("of large responses to many calls, only the newest are resent for a repeated offer", async () => {
  const body = Buffer.alloc(3 * 1024 * 1024);
  const service = startService(false, () => ({
    type: "answer",
    status: 200,
    rawHeaders: [],
    body,
    serviceMilliseconds: 1,
    wasNestedRefused: false,
  }));
  const offers = Array.from(
    { length: 20 },
    (_, index) =>
      encodeOffer({
        request: { ...REQUEST, identity: `caller@1#${index}` },
        sentAt: 5,
      }),
  );
  for (const offer of offers) {
    service.receive(offer);
  }
  await service.endRead();
  assert.equal(service.sent.length, offers.length);
  service.sent.length = 0;
  for (const offer of offers) {
    service.receive(offer);
  }
  const types = service.sent.map((message) =>
    decodeOutcome(message)?.outcome.type
  );
  assert.deepEqual(types, [
    ...Array(15).fill("failed"),
    ...Array(5).fill("answer"),
  ]);
  assert.equal(service.offered.length, offers.length);
});

describe("offers of other daemons during a shutdown", () => {
  test("an offer late in the shutdown is refused and not run", async () => {
    const gate = startService(false, () => undefined, 0);
    gate.receive(encodeOffer({ request: REQUEST, sentAt: 1_000 }));
    await gate.endRead();
    assert.deepEqual(gate.offered, []);
    assert.deepEqual(
      gate.sent.map((message) => decodeOutcome(message)?.outcome),
      [{
        type: "refused",
        reason: "leaving",
        retryAfter: 0,
        reachedInstance: false,
      }],
    );
  });

  test("the deadline of an offer is limited to the end of the shutdown", async () => {
    const gate = startService(false, () => undefined, 500);
    gate.receive(encodeOffer({ request: REQUEST, sentAt: 1_000 }));
    await gate.endRead();
    assert.deepEqual(
      gate.offered.map(({ deadlineInMilliseconds }) => deadlineInMilliseconds),
      [500],
    );
  });
});
