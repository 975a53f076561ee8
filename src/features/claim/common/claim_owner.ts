/**
 * Who owns the claims of a key, and whether an owner can know all earlier claims of it.
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
 * Daemons may learn of a change of the members this much later than others. The clock error
 * alone as a margin would let two new owners and the two former ones grant the same key while
 * the news of the new ones is under way.
 */
const PROPAGATION_MS: Milliseconds = 3_000;

export const AUTHORITY_MARGIN_MS: Milliseconds = CLOCK_ERROR_MS +
  PROPAGATION_MS;

/**
 * Two sides of a cut declare each other dead at times that differ by up to the length of the
 * detection: silence, probe and suspicion, about 7 s, and the spread of the news.
 */
const DETECTION_SPREAD_MS: Milliseconds = 10_000;

/** The first members in the rendezvous order of a key. */
export function chooseOwners(
  key: IdempotencyKey,
  members: Iterable<HostName>,
): HostName[] {
  return rankByRendezvous(key.text, members).slice(0, OWNERS_PER_KEY);
}

/** What an owner knows of its failure domain. */
export interface OwnerView {
  readonly self: HostName;
  /** Since when the owner's process has been a member without a break. */
  readonly presentSince: Milliseconds;
  /** Hosts of the members, this one included. */
  readonly members: readonly HostName[];
  readonly departures: readonly Departure[];
}

/** Why an owner is not authoritative for a key; undefined when it is. */
export function findAuthorityFault(
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
  const union = new Set([
    ...present,
    ...recent.map(({ process }) => process.host),
  ]);
  const owners = chooseOwners(key, union);
  if (!owners.includes(view.self)) {
    return "Owners of the key have departed since it was created";
  }
  const other = owners.find((host) => host !== view.self);
  // A process that is only suspected may run on the other side of a cut and grant the key there.
  if (
    recent.some((departure) =>
      departure.process.host === other && isOnlySuspected(departure)
    )
  ) {
    return "The other owner of the key may still be running";
  }
  return isCutOff(view.members, absent)
    ? "Half of the members of the failure domain are lost"
    : undefined;
}

function isRecent(departure: Departure, key: IdempotencyKey): boolean {
  const margin = AUTHORITY_MARGIN_MS +
    (isOnlySuspected(departure) ? DETECTION_SPREAD_MS : 0);
  return departure.departedAt + margin >= key.createdAt;
}

function isOnlySuspected({ cause }: Departure): boolean {
  return cause === undefined || cause === "dead";
}

/** At most one side of a split failure domain has lost fewer than half of the members. */
function isCutOff(
  members: readonly HostName[],
  absent: readonly Departure[],
): boolean {
  const lost = new Set(
    absent.filter(isOnlySuspected).map(({ process }) => process.host),
  );
  return lost.size >= 2 && lost.size >= members.length;
}
