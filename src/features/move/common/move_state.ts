/**
 * The state of one open move at one daemon: a function of the evidence, the verdicts and the
 * time, without I/O.
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
  assess,
  type Judgement,
  type MoveEvidence,
  planShare,
  planStep,
} from "./judgement.ts";
import { LAST_STEP, SHARE_STEPS, stepStartsAt } from "./move_schedule.ts";

/** A finding on a move, as daemons tell it to each other. */
export interface Verdict {
  readonly move: ChangeIdentity;
  readonly outcome: "good" | "bad";
  readonly reason: string;
  /** The process that reached the verdict. */
  readonly author: string;
}

/** The verdicts known on a move; at most one of each outcome is kept. */
export interface VerdictSet {
  readonly good: Verdict | undefined;
  readonly bad: Verdict | undefined;
}

export const NO_VERDICTS: VerdictSet = { good: undefined, bad: undefined };

export interface MoveState {
  readonly move: Move;
  readonly store: EvidenceStore;
  step: number;
  /** The share over all daemons while the version is not bad. */
  share: number;
  stepEnteredAt: Milliseconds;
  windowStartedAt: Milliseconds;
  /**
   * While held, a daemon that came into a running move sends nothing to the new version, because
   * it may not know yet that the version is bad.
   */
  heldUntil: Milliseconds;
  verdicts: VerdictSet;
}

/** The recent window covers one to two of these. */
const WINDOW_MS: Milliseconds = 15_000;
/** Later than this after its start a move counts as running when a daemon learns of it. */
const JOIN_MS: Milliseconds = 3_000;
/** How long a daemon that came into a running move waits to hear from a peer that is in it. */
const HOLD_MS: Milliseconds = 5_000;

export function createMoveState(move: Move, now: Milliseconds): MoveState {
  return {
    move,
    store: createEvidenceStore(),
    step: 0,
    share: SHARE_STEPS[0],
    stepEnteredAt: now,
    windowStartedAt: now,
    heldUntil: now > move.startedAt + JOIN_MS ? now + HOLD_MS : now,
    verdicts: NO_VERDICTS,
  };
}

/** The union of two sets. Of two verdicts with one outcome all daemons keep the same one. */
export function mergeVerdicts(
  left: VerdictSet,
  right: VerdictSet,
): VerdictSet {
  const first = (one: Verdict | undefined, other: Verdict | undefined) =>
    one === undefined || (other !== undefined && other.author < one.author)
      ? other
      : one;
  return {
    good: first(left.good, right.good),
    bad: first(left.bad, right.bad),
  };
}

/** The verdict that is in force: `bad` is final, whatever else was found. */
export function effectiveVerdict(verdicts: VerdictSet): Verdict | undefined {
  return verdicts.bad ?? verdicts.good;
}

/** The share over all daemons that this daemon acts on. */
export function shareOf(state: MoveState, now: Milliseconds): number {
  return state.verdicts.bad !== undefined || now < state.heldUntil
    ? 0
    : state.share;
}

/**
 * Takes over the step of a peer, whose evidence sufficed for it. It does not lead ahead of the
 * schedule, so a peer with a wrong clock cannot hurry the others.
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
    readonly outcome: Exclude<Judgement, "open">;
    readonly reason: string;
  };

/** What a daemon knows of the mesh when it advances a move. */
export type MoveSurroundings = Pick<
  MoveEvidence,
  "candidateHosts" | "reachableDomains" | "areAllDomainsReachable"
>;

/** Advances the state with the time. The caller carries out the effects. */
export function advanceMove(
  state: MoveState,
  surroundings: MoveSurroundings,
  now: Milliseconds,
): MoveEffect[] {
  if (now >= state.windowStartedAt + WINDOW_MS) {
    state.windowStartedAt = now;
    rotateWindow(state.store);
  }
  if (effectiveVerdict(state.verdicts)?.outcome === "bad") {
    return [];
  }
  const wasFoundGood = state.verdicts.good !== undefined;
  const evidence: MoveEvidence = { ...state, ...surroundings, wasFoundGood };
  const { judgement, reason } = assess(state.move, evidence, now);
  if (judgement === "bad" || (judgement === "good" && !wasFoundGood)) {
    return [{ kind: "verdict", outcome: judgement, reason }];
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
