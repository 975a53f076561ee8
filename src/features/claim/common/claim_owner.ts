/**
 * Selects the owners of a key and decides whether an owner knows all earlier claims of it.
 *
 * @module
 */

import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { Departure } from "../../membership/common/directory.ts";
import { CLOCK_ERROR_MS, type IdempotencyKey } from "./idempotency_key.ts";

export const OWNERS_PER_KEY = 2;

/**
 * The longest difference between the times at which daemons learn of a membership change. With
 * the clock error alone as margin, two new and two former owners could both grant the same key
 * while the membership change is still propagating.
 */
const PROPAGATION_MS: Milliseconds = 3_000;

export const AUTHORITY_MARGIN_MS: Milliseconds = CLOCK_ERROR_MS +
  PROPAGATION_MS;

/**
 * The longest difference between the times at which two sides of a network partition declare
 * each other dead: failure detection (missed messages, probe and suspicion) takes about 7 s, and
 * the change then propagates.
 */
const DETECTION_SKEW_MS: Milliseconds = 10_000;

/** Returns the first members in the key's rendezvous hashing order. */
export function chooseOwners(
  key: IdempotencyKey,
  members: Iterable<HostName>,
): HostName[] {
  return rankByRendezvous(key.text, members).slice(0, OWNERS_PER_KEY);
}

/** An owner's view of its failure domain. */
export interface OwnerView {
  readonly self: HostName;
  /** The time since which the owner's process has been a member without interruption. */
  readonly presentSince: Milliseconds;
  /** Hosts of the members, including this one. */
  readonly members: readonly HostName[];
  readonly departures: readonly Departure[];
}

/** Returns why an owner may not know all earlier claims of a key; undefined if it knows them. */
export function findAuthorityProblem(
  key: IdempotencyKey,
  view: OwnerView,
): string | undefined {
  if (view.presentSince + AUTHORITY_MARGIN_MS > key.createdAt) {
    return "The owner was not a member when the key was created";
  }
  const present = new Set(view.members);
  const absent = view.departures.filter(({ process }) =>
    !present.has(process.host)
  );
  const recent = absent.filter((departure) => isRecent(departure, key));
  const recentMembers = new Set([
    ...present,
    ...recent.map(({ process }) => process.host),
  ]);
  const owners = chooseOwners(key, recentMembers);
  if (!owners.includes(view.self)) {
    return "Owners of the key have departed since it was created";
  }
  const other = owners.find((host) => host !== view.self);
  // A process declared dead may still run behind a network partition and grant the key there.
  if (
    recent.some((departure) =>
      departure.process.host === other && mayStillBeRunning(departure)
    )
  ) {
    return "The other owner of the key may still be running";
  }
  return hasLostHalf(view.members, absent)
    ? "At least half of the members of the failure domain are lost"
    : undefined;
}

function isRecent(departure: Departure, key: IdempotencyKey): boolean {
  const margin = AUTHORITY_MARGIN_MS +
    (mayStillBeRunning(departure) ? DETECTION_SKEW_MS : 0);
  return departure.departedAt + margin >= key.createdAt;
}

function mayStillBeRunning({ cause }: Departure): boolean {
  return cause === undefined || cause === "dead";
}

/**
 * Whether at least half of the members, and at least two, may be on the other side of a
 * partition. At most one side of a partitioned failure domain has lost fewer than half.
 */
function hasLostHalf(
  members: readonly HostName[],
  absent: readonly Departure[],
): boolean {
  const lost = new Set(
    absent.filter(mayStillBeRunning).map(({ process }) => process.host),
  );
  return lost.size >= 2 && lost.size >= members.length;
}
