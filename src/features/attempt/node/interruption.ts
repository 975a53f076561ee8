/**
 * Interrupts a call when its deadline passes or its caller disconnects.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import { createEmitter, type Event } from "../../../base/common/emitter.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";

export type InterruptionCause = "timeout" | "caller-gone";

export interface Interruption extends Disposable {
  /** Undefined while the call is not interrupted. */
  readonly cause: InterruptionCause | undefined;
  readonly deadlineAt: Milliseconds;
  /** Fires at most once. */
  readonly onInterrupted: Event<InterruptionCause>;
}

export function createInterruption(
  response: ServerResponse,
  deadlineAt: Milliseconds,
  clock: Clock,
): Interruption {
  const emitter = createEmitter<InterruptionCause>();
  let cause: InterruptionCause | undefined;

  function interrupt(next: InterruptionCause): void {
    if (cause === undefined) {
      cause = next;
      emitter.fire(next);
    }
  }

  const timer = clock.schedule(
    deadlineAt - clock.now(),
    () => interrupt("timeout"),
  );
  const onClose = () => {
    if (!response.writableFinished) {
      interrupt("caller-gone");
    }
  };
  response.once("close", onClose);
  return {
    get cause() {
      return cause;
    },
    deadlineAt,
    onInterrupted: emitter.event,
    dispose() {
      timer.dispose();
      response.off("close", onClose);
      emitter.dispose();
    },
  };
}
