/**
 * The claims that an owner holds. Memory is bounded: a full table refuses new claims, because
 * evicting a claim could let a request run twice.
 *
 * @module
 */

import {
  type Milliseconds,
  MINUTE_MS,
} from "../../../base/common/milliseconds.ts";
import { KEY_LIFETIME_MS } from "./idempotency_key.ts";

/** About 10 MB; several times the claims of 10 minutes at the design load. */
export const MAXIMUM_CLAIMS = 50_000;

/** How long a released token is remembered, to refuse a claim that arrives after its release. */
const TOMBSTONE_LIFETIME_MS: Milliseconds = MINUTE_MS;

/** A claim is kept this much longer than its key is valid, so that it never expires first. */
const RETENTION_MARGIN_MS: Milliseconds = 10_000;

export type ClaimOutcome = "running" | "answered" | "unknown";

/** How a claim ends. The call of a released claim did not run. */
export type ClaimEnd = "released" | "answered" | "unknown";

/**
 * The state of a key for a token. `free`: the key is not claimed. `own`: the key is claimed with
 * the same token. `withdrawn`: the token was released before. `full`: the table has no room.
 */
export type ClaimState =
  | { readonly kind: "free" | "own" | "withdrawn" | "full" }
  | { readonly kind: "claimed"; readonly outcome: ClaimOutcome };

export interface ClaimTable {
  readonly size: number;
  /** Returns the state of a key for a claim with this token. */
  lookUp(claimId: string, token: string): ClaimState;
  /** Records a claim of a free key. */
  record(
    claimId: string,
    claim: { readonly token: string; readonly createdAt: Milliseconds },
  ): void;
  /** Sets the outcome of a claim, or removes it if it was released. */
  end(
    claimId: string,
    claim: {
      readonly token: string;
      readonly end: ClaimEnd;
      readonly now: Milliseconds;
    },
  ): void;
  /** Removes expired claims and tombstones. */
  expire(now: Milliseconds): void;
}

export function createClaimTable(limit = MAXIMUM_CLAIMS): ClaimTable {
  interface Entry {
    readonly token: string;
    readonly expiresAt: Milliseconds;
    outcome: ClaimOutcome;
  }
  const claims = new Map<string, Entry>();
  /** Expiry times of released tokens. */
  const tombstones = new Map<string, Milliseconds>();

  return {
    get size() {
      return claims.size + tombstones.size;
    },
    lookUp(claimId, token) {
      const present = claims.get(claimId);
      if (present !== undefined) {
        return present.token === token
          ? { kind: "own" }
          : { kind: "claimed", outcome: present.outcome };
      }
      if (tombstones.has(token)) {
        return { kind: "withdrawn" };
      }
      return { kind: claims.size + tombstones.size < limit ? "free" : "full" };
    },
    record(claimId, { token, createdAt }) {
      claims.set(claimId, {
        token,
        expiresAt: createdAt + KEY_LIFETIME_MS + RETENTION_MARGIN_MS,
        outcome: "running",
      });
    },
    end(claimId, { token, end, now }) {
      const present = claims.get(claimId);
      if (end !== "released") {
        if (present?.token === token) {
          present.outcome = end;
        }
        return;
      }
      if (present?.token === token && present.outcome === "running") {
        claims.delete(claimId);
      }
      // The claim message itself may still be in transit to this owner.
      if (claims.size + tombstones.size < limit) {
        tombstones.set(token, now + TOMBSTONE_LIFETIME_MS);
      }
    },
    expire(now) {
      for (const [claimId, { expiresAt }] of claims) {
        if (expiresAt < now) {
          claims.delete(claimId);
        }
      }
      for (const [token, expiresAt] of tombstones) {
        if (expiresAt < now) {
          tombstones.delete(token);
        }
      }
    },
  };
}
