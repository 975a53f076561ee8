/**
 * The error type of the project, which names the failed step and the peer.
 *
 * @module
 */

/** Whether an action whose request failed was run: certainly not, or unknown. */
export type Outcome = "not-run" | "unknown";

export interface StepErrorOptions {
  /** The remote side of the failed step: a host name, an address or `platform`. */
  readonly peer?: string;
  /** Default: `unknown`. */
  readonly outcome?: Outcome;
  readonly cause?: unknown;
}

export class StepError extends Error {
  /** The step that failed, such as `log.append`. */
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

/** Returns the message of a thrown value of any type. */
export function describeError(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
