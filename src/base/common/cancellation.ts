/**
 * Cancellation of long work: the owner of the source cancels, the work observes the token.
 *
 * @module
 */

import { createEmitter, type Event } from "./emitter.ts";

export interface CancellationToken {
  readonly isCancelled: boolean;
  /** Fires once; a listener that registers after the cancellation is called at once. */
  readonly onCancelled: Event<void>;
}

export interface CancellationSource {
  readonly token: CancellationToken;
  cancel(): void;
}

export function createCancellationSource(): CancellationSource {
  const emitter = createEmitter<void>();
  let cancelled = false;
  const token: CancellationToken = {
    get isCancelled() {
      return cancelled;
    },
    onCancelled(listener) {
      if (cancelled) {
        listener();
      }
      return emitter.event(listener);
    },
  };
  return {
    token,
    cancel() {
      if (!cancelled) {
        cancelled = true;
        emitter.fire();
      }
    },
  };
}

/** A token that is never cancelled. */
export const NEVER_CANCELLED: CancellationToken =
  createCancellationSource().token;
