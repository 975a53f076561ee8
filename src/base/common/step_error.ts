/**
 * The error type of the system: it names the step that failed and the peer it concerned.
 *
 * @module
 */

/** What is known about an action whose request failed. */
export type Outcome = "not-run" | "unknown";

export interface StepErrorOptions {
  /** The other side of the failed step: a host name, an address or `platform`. */
  readonly peer?: string;
  /** Whether the action certainly did not run; `unknown` by default. */
  readonly outcome?: Outcome;
  readonly cause?: unknown;
}

export class StepError extends Error {
  /** The step at which the error arose, such as `log.append`. */
  readonly step: string;
  readonly peer: string | undefined;
  readonly outcome: Outcome;

  constructor(step: string, message: string, options: StepErrorOptions = {}) {
    super(message, { cause: options.cause });
    this.name = "StepError";
    this.step = step;
    this.peer = options.peer;
    this.outcome = options.outcome ?? "unknown";
  }
}

/** The message of any thrown value. */
export function describeError(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
