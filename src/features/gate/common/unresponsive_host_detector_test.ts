import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { Err, Ok } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import {
  createUnresponsiveHostDetector,
  PROBE_KIND,
} from "./unresponsive_host_detector.ts";

const USUAL_MS = 100;
const PEER = { process: { host: "gate", startedAt: 1 }, failureDomain: "x" };

interface Case {
  readonly name: string;
  /** When the last frame before the partition was received. */
  readonly lastFrameAt?: number;
  /** When the calls were offered. */
  readonly offeredAt?: readonly number[];
  /** The delay of each probe answer; undefined means that probes are not answered. */
  readonly answerDelay?: number;
  /** When a frame of another kind is received. */
  readonly frameAt?: number;
  readonly probes: number;
  /** The latest time at which the host is reported as unresponsive. */
  readonly unresponsiveBy?: number;
  readonly isUnresponsiveAtEnd?: boolean;
}

const CASES: readonly Case[] = [
  {
    name: "calls that have already ended cause no probe",
    offeredAt: [],
    probes: 0,
  },
  {
    name: "a host that has lost power is unresponsive within half a second",
    probes: 1,
    unresponsiveBy: 500,
    isUnresponsiveAtEnd: true,
  },
  {
    name: "many overdue calls cause one probe",
    offeredAt: [0, 1, 2, 3, 4],
    probes: 1,
    unresponsiveBy: 500,
    isUnresponsiveAtEnd: true,
  },
  {
    name: "a slow host that answers probes is not unresponsive",
    answerDelay: 20,
    probes: 5,
  },
  {
    name: "a host that sends again is no longer unresponsive",
    frameAt: 800,
    probes: 2,
    unresponsiveBy: 500,
  },
];

async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await Promise.resolve();
  }
}

describe("a host with calls in flight", () => {
  for (
    const {
      name,
      lastFrameAt = 0,
      offeredAt = [0],
      answerDelay,
      frameAt,
      probes,
      unresponsiveBy,
      isUnresponsiveAtEnd = false,
    } of CASES
  ) {
    test(name, async () => {
      const clock = new VirtualClock();
      let lastReceivedAt = lastFrameAt;
      let probeCount = 0;
      const unresponsiveAt: number[] = [];
      const detector = createUnresponsiveHostDetector({
        clock,
        log: SILENT_LOG,
        network: {
          findPeer: () => PEER,
          getIdleTime: () => clock.now() - lastReceivedAt,
          request: (_, message, { timeoutMilliseconds }) => {
            assert.equal(message.kind, PROBE_KIND);
            probeCount += 1;
            return new Promise((resolve) => {
              if (answerDelay === undefined) {
                clock.schedule(
                  timeoutMilliseconds,
                  () => resolve(Err(new StepError("probe", "no answer"))),
                );
              } else {
                clock.schedule(answerDelay, () => {
                  lastReceivedAt = clock.now();
                  resolve(Ok(message));
                });
              }
            });
          },
        },
        pendingOffers: () =>
          offeredAt.map((at) => ({
            host: "gate",
            offeredAt: at,
            usualMilliseconds: USUAL_MS,
          })),
        afterPendingEvents: (callback) => callback(),
      });
      detector.onUnresponsive(() => unresponsiveAt.push(clock.now()));
      detector.handleOffered();
      for (let now = 0; now < 1_000; now += 10) {
        clock.advance(10);
        await settle();
        if (clock.now() === frameAt) {
          lastReceivedAt = clock.now();
        }
      }
      assert.equal(probeCount, probes);
      assert.equal(unresponsiveAt.length > 0, unresponsiveBy !== undefined);
      assert.ok(unresponsiveAt.every((at) => at <= (unresponsiveBy ?? 0)));
      assert.equal(detector.isUnresponsive("gate"), isUnresponsiveAtEnd);
      detector.dispose();
    });
  }
});
