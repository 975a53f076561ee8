/**
 * Chooses link targets from members, contacts and seeds, and finds lost members again.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import type { Member } from "./directory.ts";
import {
  chooseLocalTargets,
  chooseRemoteTargets,
  LOCAL_LINKS,
  pickRandom,
  REMOTE_LINKS,
  toLinkTarget,
} from "./link_choice.ts";

/** Seeds are chosen anew after a uniform time up to this, so that restarts spread over them. */
const SEED_CHANGE_LIMIT_MS: Milliseconds = 5_000;

/** How long a link to a member that was found again is kept, for the exchange of records. */
const REUNION_MS: Milliseconds = 15_000;

/** One daemon of the domain looks for a lost member in about this time. */
const SEARCH_INTERVAL_PER_MEMBER_MS: Milliseconds = 1_000;
const MINIMUM_SEARCH_INTERVAL_MS: Milliseconds = 10_000;
const MAXIMUM_SEARCH_INTERVAL_MS: Milliseconds = 300_000;

export interface KnownDaemons {
  /** Present members of the own failure domain without this one. */
  readonly local: readonly Member[];
  readonly remote: readonly Member[];
  /** Members of the own failure domain that were declared dead. */
  readonly dead: readonly Member[];
}

export interface TargetPlanner {
  plan(known: KnownDaemons, now: Milliseconds): LinkTarget[];
  /** A seed or dead member to look for now, if it is time for one. */
  takeSearch(known: KnownDaemons, now: Milliseconds): LinkTarget | undefined;
  /** A member that was searched for answered. */
  found(target: LinkTarget, now: Milliseconds): void;
}

export function createTargetPlanner(
  self: HostName,
  seeds: readonly LinkTarget[],
  random: RandomSource,
): TargetPlanner {
  const reunions = new Map<
    HostName,
    { readonly target: LinkTarget; readonly until: Milliseconds }
  >();
  let picked: LinkTarget[] = [];
  let pickedUntil = -Infinity;
  let searchAt: Milliseconds | undefined;

  function unknownSeeds({ local, remote }: KnownDaemons): LinkTarget[] {
    const known = new Set(
      [...local, ...remote].map(({ process }) => process.host),
    );
    return seeds.filter(({ host }) => host !== self && !known.has(host));
  }

  function pickSeeds(known: KnownDaemons, now: Milliseconds): LinkTarget[] {
    const limit = known.local.length === 0
      ? LOCAL_LINKS
      : known.remote.length === 0
      ? REMOTE_LINKS
      : 0;
    if (limit === 0) {
      pickedUntil = -Infinity;
      return [];
    }
    const candidates = unknownSeeds(known);
    if (now >= pickedUntil) {
      picked = pickRandom(candidates, limit, random);
      pickedUntil = now + random.nextFraction() * SEED_CHANGE_LIMIT_MS;
    }
    return picked.filter((seed) => candidates.includes(seed));
  }

  return {
    plan(known, now) {
      const chosen = [
        ...chooseLocalTargets(self, known.local),
        ...chooseRemoteTargets(self, known.remote),
      ].map(toLinkTarget);
      for (const [host, { until }] of reunions) {
        if (until <= now) {
          reunions.delete(host);
        }
      }
      const others = [
        ...pickSeeds(known, now),
        ...[...reunions.values()].map(({ target }) => target),
      ];
      const byHost = new Map(others.map((target) => [target.host, target]));
      chosen.forEach((target) => byHost.set(target.host, target));
      return [...byHost.values()];
    },
    takeSearch(known, now) {
      const interval = Math.min(
        MAXIMUM_SEARCH_INTERVAL_MS,
        Math.max(
          MINIMUM_SEARCH_INTERVAL_MS,
          SEARCH_INTERVAL_PER_MEMBER_MS * known.local.length,
        ),
      );
      const isDue = searchAt !== undefined && now >= searchAt;
      if (searchAt === undefined || isDue) {
        searchAt = now + interval * (0.5 + random.nextFraction());
      }
      const lost = [...unknownSeeds(known), ...known.dead.map(toLinkTarget)];
      return isDue ? pickRandom(lost, 1, random)[0] : undefined;
    },
    found(target, now) {
      reunions.set(target.host, { target, until: now + REUNION_MS });
    },
  };
}
