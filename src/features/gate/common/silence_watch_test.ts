import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { Err, Ok } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import { createSilenceWatch, PROBE_KIND } from "./silence_watch.ts";

const USUAL_MS = 100;
const PEER = { process: { host: "gate", startedAt: 1 }, failureDomain: "x" };

interface Case {
  readonly name: string;
  /** When the last frame before the cut came, and when the calls were offered. */
  readonly lastFrameAt?: number;
  readonly offeredAt?: readonly number[];
  /** When each probe is answered after it was sent; never when undefined. */
  readonly answersAfter?: number;
  /** When a frame of another kind comes. */
  readonly frameAt?: number;
  readonly probes: number;
  /** The time at which the host is called silent. */
  readonly silentBy?: number;
  readonly isSilentAtEnd?: boolean;
}

const CASES: readonly Case[] = [
  {
    name: "calls that end in time cost no probe",
    offeredAt: [],
    probes: 0,
  },
  {
    name: "a host that has lost power is silent within half a second",
    probes: 1,
    silentBy: 500,
    isSilentAtEnd: true,
  },
  {
    name: "many overdue calls cause one probe",
    offeredAt: [0, 1, 2, 3, 4],
    probes: 1,
    silentBy: 500,
    isSilentAtEnd: true,
  },
  {
    name: "a host that works slowly and answers is not silent",
    answersAfter: 20,
    probes: 5,
  },
  {
    name: "a host that speaks again is not silent any more",
    frameAt: 800,
    probes: 2,
    silentBy: 500,
  },
];

async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await Promise.resolve();
  }
}

describe("a host with calls under way", () => {
  for (
    const {
      name,
      lastFrameAt = 0,
      offeredAt = [0],
      answersAfter,
      frameAt,
      probes,
      silentBy,
      isSilentAtEnd = false,
    } of CASES
  ) {
    test(name, async () => {
      const clock = new VirtualClock();
      let heardAt = lastFrameAt;
      let sent = 0;
      const silentAt: number[] = [];
      const watch = createSilenceWatch({
        clock,
        log: SILENT_LOG,
        network: {
          findPeer: () => PEER,
          getIdleTime: () => clock.now() - heardAt,
          request: (_, message, { timeoutMilliseconds }) => {
            assert.equal(message.kind, PROBE_KIND);
            sent += 1;
            return new Promise((resolve) => {
              if (answersAfter === undefined) {
                clock.schedule(
                  timeoutMilliseconds,
                  () => resolve(Err(new StepError("probe", "no answer"))),
                );
              } else {
                clock.schedule(answersAfter, () => {
                  heardAt = clock.now();
                  resolve(Ok(message));
                });
              }
            });
          },
        },
        waiting: () =>
          offeredAt.map((at) => ({
            host: "gate",
            offeredAt: at,
            usualMilliseconds: USUAL_MS,
          })),
        afterPendingEvents: (callback) => callback(),
      });
      watch.onSilent(() => silentAt.push(clock.now()));
      watch.noteOffered();
      for (let now = 0; now < 1_000; now += 10) {
        clock.advance(10);
        await settle();
        if (clock.now() === frameAt) {
          heardAt = clock.now();
        }
      }
      assert.equal(sent, probes);
      assert.equal(silentAt.length > 0, silentBy !== undefined);
      assert.ok(silentAt.every((at) => at <= (silentBy ?? 0)));
      assert.equal(watch.isUnresponsive("gate"), isSilentAtEnd);
      watch.dispose();
    });
  }
});
