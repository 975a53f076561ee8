/**
 * Typed channels and tasks on top of `js-csp`. A task owns its state; other code sends it messages.
 *
 * @module
 */

import csp from "js-csp";
import { describeError, StepError } from "./step_error.ts";

/** How a full channel handles another message. */
export type OverflowRule = "reject" | "drop-oldest" | "drop-newest";

/** `js-csp` throws when more puts than this are pending on one channel. */
export const MAXIMUM_PENDING_PUTS = 1_024;

export interface Channel<T> {
  /**
   * Sends a message without waiting. Returns false when the channel is closed, or when it is full and its
   * overflow rule is `reject`.
   */
  offer(message: T): boolean;
  /** Closes the channel; messages that are already buffered can still be received. */
  close(): void;
  readonly isClosed: boolean;
  /** The underlying `js-csp` channel, for {@linkcode receive}. */
  readonly raw: ReturnType<typeof csp.chan>;
}

export interface ChannelOptions {
  readonly capacity?: number;
  readonly overflow?: OverflowRule;
}

export function createChannel<T>(options: ChannelOptions = {}): Channel<T> {
  const capacity = options.capacity ?? MAXIMUM_PENDING_PUTS;
  const raw = csp.chan(createBuffer(capacity, options.overflow ?? "reject"));
  return {
    raw,
    offer: (message) => !raw.closed && csp.offer(raw, message),
    close: () => raw.close(),
    get isClosed() {
      return raw.closed;
    },
  };
}

function createBuffer(capacity: number, overflow: OverflowRule) {
  switch (overflow) {
    case "reject":
      return csp.buffers.fixed(capacity);
    case "drop-oldest":
      return csp.buffers.sliding(capacity);
    case "drop-newest":
      return csp.buffers.dropping(capacity);
  }
}

/** The body of a task. It calls {@linkcode receive} and {@linkcode waitFor} with `yield*`. */
export type TaskBody<T = void> = Generator<unknown, T, unknown>;

/** Inside a task: waits for the next message; returns undefined when the channel is closed and empty. */
export function* receive<T>(channel: Channel<T>): TaskBody<T | undefined> {
  const message = yield csp.take(channel.raw);
  return message === csp.CLOSED ? undefined : message as T;
}

/** Inside a task: waits for a promise and returns its value or throws its error. */
export function* waitFor<T>(promise: Promise<T>): TaskBody<T> {
  const settled = csp.promiseChan();
  promise.then(
    (value) => csp.putAsync(settled, { value }),
    (error) => csp.putAsync(settled, { error }),
  );
  const outcome = (yield csp.take(settled)) as { value: T } | {
    error: unknown;
  };
  if ("error" in outcome) {
    throw outcome.error;
  }
  return outcome.value;
}

export interface TaskOptions {
  /** Called with an uncaught exception of the task. */
  readonly onError: (error: StepError) => void;
}

/** Starts a task and resolves when it has ended. Its exceptions are passed to `onError`. */
export function startTask(
  name: string,
  body: () => TaskBody,
  options: TaskOptions,
): Promise<void> {
  return new Promise((resolve) => {
    csp.go(function* () {
      try {
        yield* body();
      } catch (error) {
        options.onError(
          error instanceof StepError
            ? error
            : new StepError(name, describeError(error), { cause: error }),
        );
      } finally {
        resolve();
      }
    });
  });
}

/**
 * Starts a task that handles one message at a time. An exception in the handler is passed to `onError`, and the
 * task continues with the next message.
 */
export function startMessageTask<T>(
  name: string,
  channel: Channel<T>,
  options: TaskOptions & { readonly handle: (message: T) => void },
): Promise<void> {
  return startTask(name, function* () {
    for (
      let message = yield* receive(channel);
      message !== undefined;
      message = yield* receive(channel)
    ) {
      try {
        options.handle(message);
      } catch (error) {
        options.onError(
          new StepError(name, describeError(error), { cause: error }),
        );
      }
    }
  }, options);
}
