/**
 * The phases in which a server stops without cutting a request.
 *
 * @module
 */

/**
 * `serving`: the server does not stop. `leaving`: requests are served, and connections are closed behind them.
 * `finishing`: only what is under way is brought to its end.
 */
export type StopPhase = "serving" | "leaving" | "finishing";

/**
 * Whether an answer ends its connection. Requests that were read behind it are at work already, so only the
 * answer to the last one does.
 */
export function closesConnection(
  phase: StopPhase,
  { isLastRead }: { readonly isLastRead: boolean },
): boolean {
  return phase !== "serving" && isLastRead;
}
