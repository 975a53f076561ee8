/**
 * Chooses link targets from members, contacts and seeds, and searches for lost members.
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

/**
 * Other seeds are picked after a uniformly distributed time up to this, so that restarted daemons
 * spread over the seeds.
 */
const MAXIMUM_SEED_CHANGE_INTERVAL_MS: Milliseconds = 5_000;

/** A link to a rediscovered member is kept for this long, for the exchange of records. */
const REDISCOVERED_LINK_MS: Milliseconds = 15_000;

/** On average one daemon of the domain searches for a lost member in this time. */
const SEARCH_INTERVAL_PER_MEMBER_MS: Milliseconds = 1_000;
const MINIMUM_SEARCH_INTERVAL_MS: Milliseconds = 10_000;
const MAXIMUM_SEARCH_INTERVAL_MS: Milliseconds = 300_000;

export interface KnownDaemons {
  /** Alive and suspect members of the own failure domain, without this one. */
  readonly local: readonly Member[];
  readonly remote: readonly Member[];
  /** Members of the own failure domain that were declared dead. */
  readonly dead: readonly Member[];
}

export interface TargetPlanner {
  plan(known: KnownDaemons, now: Milliseconds): LinkTarget[];
  /** Returns an unknown seed or dead member to search for, if a search is due. */
  takeSearchTarget(
    known: KnownDaemons,
    now: Milliseconds,
  ): LinkTarget | undefined;
  /** Keeps a link to a member that answered a search. */
  keepRediscovered(target: LinkTarget, now: Milliseconds): void;
}

export function createTargetPlanner(
  self: HostName,
  seeds: readonly LinkTarget[],
  random: RandomSource,
): TargetPlanner {
  const rediscovered = new Map<
    HostName,
    { readonly target: LinkTarget; readonly until: Milliseconds }
  >();
  let pickedSeeds: LinkTarget[] = [];
  let pickedUntil = -Infinity;
  let searchAt: Milliseconds | undefined;

  function listUnknownSeeds({ local, remote }: KnownDaemons): LinkTarget[] {
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
    const candidates = listUnknownSeeds(known);
    if (now >= pickedUntil) {
      pickedSeeds = pickRandom(candidates, limit, random);
      pickedUntil = now +
        random.nextFraction() * MAXIMUM_SEED_CHANGE_INTERVAL_MS;
    }
    return pickedSeeds.filter((seed) => candidates.includes(seed));
  }

  return {
    plan(known, now) {
      const chosen = [
        ...chooseLocalTargets(self, known.local),
        ...chooseRemoteTargets(self, known.remote),
      ].map(toLinkTarget);
      for (const [host, { until }] of rediscovered) {
        if (until <= now) {
          rediscovered.delete(host);
        }
      }
      const others = [
        ...pickSeeds(known, now),
        ...[...rediscovered.values()].map(({ target }) => target),
      ];
      const byHost = new Map(others.map((target) => [target.host, target]));
      chosen.forEach((target) => byHost.set(target.host, target));
      return [...byHost.values()];
    },
    takeSearchTarget(known, now) {
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
      const lost = [
        ...listUnknownSeeds(known),
        ...known.dead.map(toLinkTarget),
      ];
      return isDue ? pickRandom(lost, 1, random)[0] : undefined;
    },
    keepRediscovered(target, now) {
      rediscovered.set(target.host, {
        target,
        until: now + REDISCOVERED_LINK_MS,
      });
    },
  };
}
