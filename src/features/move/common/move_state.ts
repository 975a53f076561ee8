/**
 * The state of one open move at one daemon. It depends only on the evidence, the verdicts and the
 * time, and does no I/O.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { Move } from "../../../world/common/move.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import {
  createEvidenceStore,
  type EvidenceStore,
  rotateWindow,
} from "./evidence.ts";
import {
  evaluateMove,
  type EvaluationOutcome,
  type MoveEvidence,
  planShare,
  planStep,
} from "./move_evaluation.ts";
import { LAST_STEP, SHARE_STEPS, stepStartsAt } from "./move_schedule.ts";

/** The result of a move as one daemon determined it; sent between daemons. */
export interface Verdict {
  readonly move: ChangeIdentity;
  readonly outcome: "good" | "bad";
  readonly reason: string;
  /** The process that reached the verdict. */
  readonly author: string;
}

/** The known verdicts of a move, at most one per outcome. */
export interface VerdictSet {
  readonly good: Verdict | undefined;
  readonly bad: Verdict | undefined;
}

export const NO_VERDICTS: VerdictSet = { good: undefined, bad: undefined };

export interface MoveState {
  readonly move: Move;
  readonly store: EvidenceStore;
  step: number;
  /** The planned share of calls over all daemons; not applied while held or after a bad verdict. */
  share: number;
  stepEnteredAt: Milliseconds;
  windowStartedAt: Milliseconds;
  /**
   * Until then a daemon that joined a running move sends no calls to the new version, because it
   * may not have received a bad verdict yet.
   */
  heldUntil: Milliseconds;
  verdicts: VerdictSet;
}

/** The recent window covers one to two of these intervals. */
const WINDOW_MS: Milliseconds = 15_000;
/** A daemon that learns of a move later than this after its start has joined a running move. */
const LATE_JOIN_MS: Milliseconds = 3_000;
/** How long a daemon that joined a running move waits for a peer's report on it. */
const HOLD_TIMEOUT_MS: Milliseconds = 5_000;

export function createMoveState(move: Move, now: Milliseconds): MoveState {
  return {
    move,
    store: createEvidenceStore(),
    step: 0,
    share: SHARE_STEPS[0],
    stepEnteredAt: now,
    windowStartedAt: now,
    heldUntil: now > move.startedAt + LATE_JOIN_MS
      ? now + HOLD_TIMEOUT_MS
      : now,
    verdicts: NO_VERDICTS,
  };
}

/**
 * The union of two sets. Of two verdicts with the same outcome, every daemon keeps the one with
 * the lowest author name.
 */
export function mergeVerdicts(
  left: VerdictSet,
  right: VerdictSet,
): VerdictSet {
  const chooseVerdict = (
    one: Verdict | undefined,
    other: Verdict | undefined,
  ) =>
    one === undefined || (other !== undefined && other.author < one.author)
      ? other
      : one;
  return {
    good: chooseVerdict(left.good, right.good),
    bad: chooseVerdict(left.bad, right.bad),
  };
}

/** The verdict in force: `bad` is final and takes precedence over `good`. */
export function effectiveVerdict(verdicts: VerdictSet): Verdict | undefined {
  return verdicts.bad ?? verdicts.good;
}

/** The share over all daemons that this daemon applies now. */
export function effectiveShare(state: MoveState, now: Milliseconds): number {
  return state.verdicts.bad !== undefined || now < state.heldUntil
    ? 0
    : state.share;
}

/**
 * Adopts a later step from a peer that had sufficient evidence for it, but not before the step is
 * scheduled, so that a peer with a wrong clock cannot advance the others. Returns whether the step
 * changed.
 */
export function adoptStep(
  state: MoveState,
  peer: { readonly step: number; readonly enteredAt: Milliseconds },
  now: Milliseconds,
): boolean {
  state.heldUntil = Math.min(state.heldUntil, now);
  const step = Math.min(peer.step, LAST_STEP);
  if (step <= state.step || now < stepStartsAt(state.move, step)) {
    return false;
  }
  state.step = step;
  state.share = SHARE_STEPS[step];
  state.stepEnteredAt = Math.min(
    now,
    Math.max(peer.enteredAt, stepStartsAt(state.move, step)),
  );
  return true;
}

export type MoveEffect =
  | { readonly kind: "step"; readonly share: number }
  | {
    readonly kind: "verdict";
    readonly outcome: Exclude<EvaluationOutcome, "open">;
    readonly reason: string;
  };

/** The state of the mesh, as this daemon knows it, that a move depends on. */
export type MeshView = Pick<
  MoveEvidence,
  "candidateHosts" | "reachableDomains" | "areAllDomainsReachable"
>;

/** Advances the state to `now` and returns the effects for the caller to carry out. */
export function advanceMove(
  state: MoveState,
  meshView: MeshView,
  now: Milliseconds,
): MoveEffect[] {
  if (now >= state.windowStartedAt + WINDOW_MS) {
    state.windowStartedAt = now;
    rotateWindow(state.store);
  }
  if (effectiveVerdict(state.verdicts)?.outcome === "bad") {
    return [];
  }
  const hasGoodVerdict = state.verdicts.good !== undefined;
  const evidence: MoveEvidence = { ...state, ...meshView, hasGoodVerdict };
  const { outcome, reason } = evaluateMove(state.move, evidence, now);
  if (outcome === "bad" || (outcome === "good" && !hasGoodVerdict)) {
    return [{ kind: "verdict", outcome, reason }];
  }
  if (now < state.heldUntil) {
    return [];
  }
  const step = planStep(state.move, evidence, now);
  const share = planShare(state.move, evidence, now);
  if (step !== state.step) {
    state.step = step;
    state.stepEnteredAt = now;
  }
  if (share === state.share) {
    return [];
  }
  state.share = share;
  return [{ kind: "step", share }];
}
