/**
 * The claims that an owner holds. Memory is bounded: a full table refuses claims, since to forget
 * one could run a request twice.
 *
 * @module
 */

import {
  type Milliseconds,
  MINUTE_MS,
} from "../../../base/common/milliseconds.ts";
import { KEY_LIFETIME_MS } from "./idempotency_key.ts";

/** About 10 MB, several times what the size to design for needs in 10 minutes. */
export const MAXIMUM_CLAIMS = 50_000;

/** How long a claim that was released before it arrived is refused. */
const RELEASE_MEMORY_MS: Milliseconds = MINUTE_MS;

/** A claim outlives its key by this, so that the two ends of a lifetime cannot cross. */
const RETENTION_MARGIN_MS: Milliseconds = 10_000;

export type ClaimOutcome = "running" | "answered" | "unknown";

/** How a claim ends. A released claim certainly did not run. */
export type ClaimEnd = "released" | "answered" | "unknown";

/** `free`: nobody holds the key. `own`: the same claim is there already. */
export type ClaimState =
  | { readonly kind: "free" | "own" | "withdrawn" | "full" }
  | { readonly kind: "claimed"; readonly outcome: ClaimOutcome };

export interface ClaimTable {
  readonly size: number;
  /** What a claim with this token would meet. */
  lookUp(identity: string, token: string): ClaimState;
  /** Records a claim of a free key. */
  record(
    identity: string,
    claim: { readonly token: string; readonly createdAt: Milliseconds },
  ): void;
  end(
    identity: string,
    claim: {
      readonly token: string;
      readonly end: ClaimEnd;
      readonly now: Milliseconds;
    },
  ): void;
  expire(now: Milliseconds): void;
}

export function createClaimTable(limit = MAXIMUM_CLAIMS): ClaimTable {
  interface Entry {
    readonly token: string;
    readonly expiresAt: Milliseconds;
    outcome: ClaimOutcome;
  }
  const claims = new Map<string, Entry>();
  const withdrawn = new Map<string, Milliseconds>();

  return {
    get size() {
      return claims.size + withdrawn.size;
    },
    lookUp(identity, token) {
      const present = claims.get(identity);
      if (present !== undefined) {
        return present.token === token
          ? { kind: "own" }
          : { kind: "claimed", outcome: present.outcome };
      }
      if (withdrawn.has(token)) {
        return { kind: "withdrawn" };
      }
      return { kind: claims.size + withdrawn.size < limit ? "free" : "full" };
    },
    record(identity, { token, createdAt }) {
      claims.set(identity, {
        token,
        expiresAt: createdAt + KEY_LIFETIME_MS + RETENTION_MARGIN_MS,
        outcome: "running",
      });
    },
    end(identity, { token, end, now }) {
      const present = claims.get(identity);
      if (end !== "released") {
        if (present?.token === token) {
          present.outcome = end;
        }
        return;
      }
      if (present?.token === token && present.outcome === "running") {
        claims.delete(identity);
      }
      // The claim itself may still be under way to this owner.
      if (claims.size + withdrawn.size < limit) {
        withdrawn.set(token, now + RELEASE_MEMORY_MS);
      }
    },
    expire(now) {
      for (const [identity, { expiresAt }] of claims) {
        if (expiresAt < now) {
          claims.delete(identity);
        }
      }
      for (const [token, expiresAt] of withdrawn) {
        if (expiresAt < now) {
          withdrawn.delete(token);
        }
      }
    },
  };
}
