/**
 * The messages by which a caller's daemon uses the gate of another daemon.
 *
 * @module
 */

import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { GateLoadReport, GateOutcome, GateRequest } from "./gate_call.ts";

export const OFFER_KIND = "gate.offer";
export const CANCEL_KIND = "gate.cancel";
export const OUTCOME_KIND = "gate.outcome";

/** Offers a call, or asks again for the outcome of a call that was offered before. */
export interface OfferMessage extends LinkMessage {
  readonly request: GateRequest;
}

export interface CancelMessage extends LinkMessage {
  readonly identity: string;
}

export interface OutcomeMessage extends LinkMessage {
  readonly identity: string;
  readonly outcome: GateOutcome;
  readonly load: GateLoadReport;
}
