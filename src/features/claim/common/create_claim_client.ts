/**
 * Claims at the owners of a key, directly in the home domain and through one of its daemons from
 * elsewhere; answers the attempts of other daemons.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import { createDisposableStore } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import { rankByRendezvous } from "../../../base/common/hashing.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  formatProcess,
  type HostIdentity,
} from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import type { MembershipDirectory } from "../../membership/common/membership_directory.ts";
import type { Directory } from "../../membership/common/directory.ts";
import type { Claim, ClaimAnswer, ClaimClient } from "./claim_client.ts";
import {
  type AnswerMessage,
  type AttemptResult,
  CLAIM_KIND,
  type ClaimAttempt,
  type ClaimMessage,
  decodeAnswer,
  decodeAttempt,
  decodeEnd,
  encodeAttempt,
  END_KIND,
  FORWARD_END_KIND,
  FORWARD_KIND,
} from "./claim_messages.ts";
import { chooseOwners, OWNERS_PER_KEY } from "./claim_owner.ts";
import { decideAttempt, endAttempt } from "./claim_owner_service.ts";
import { type ClaimEnd, createClaimTable } from "./claim_table.ts";
import { findAgeFault, parseIdempotencyKey } from "./idempotency_key.ts";

const OWNER_TIMEOUT_MS: Milliseconds = 500;

/** Two owners are asked in turn, and the way to the home domain comes on top. */
const FORWARD_TIMEOUT_MS: Milliseconds = 2 * OWNER_TIMEOUT_MS + 300;
const FORWARD_TRIES = 3;

/** An end that does not arrive leaves the key claimed, which is safe but refuses repeats. */
const END_TRIES = 5;
const END_RETRY_MS: Milliseconds = 1_000;
const EXPIRY_INTERVAL_MS: Milliseconds = 10_000;

export interface ClaimClientOptions {
  readonly self: HostIdentity;
  /** The directory; owners must know since when they are members without a break. */
  readonly directory: Directory & Pick<MembershipDirectory, "presentSince">;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** The most claims held as an owner. */
  readonly claimLimit?: number;
}

export function createClaimClient(options: ClaimClientOptions): ClaimClient {
  const { self, directory, network, clock, log } = options;
  const ownHost = self.process.host;
  const table = createClaimTable(options.claimLimit);
  const owned = createDisposableStore();
  let lastAttempt = 0;
  let disposed = false;

  function listMembers(): HostName[] {
    return directory.localMembers.map(({ process }) => process.host);
  }

  function decide(
    attempt: ClaimAttempt,
    owners: readonly HostName[],
  ): AttemptResult {
    return decideAttempt(table, attempt, {
      owners,
      now: clock.now(),
      view: {
        self: ownHost,
        // Read first: it notes a pause of this process.
        presentSince: directory.presentSince,
        members: listMembers(),
        departures: directory.departures,
      },
    });
  }

  async function askOwner(
    owner: HostName,
    attempt: ClaimAttempt,
    owners: readonly HostName[],
  ): Promise<AttemptResult> {
    if (owner === ownHost) {
      return decide(attempt, owners);
    }
    const message = encodeAttempt(CLAIM_KIND, attempt, { owners });
    const result = await network.request(owner, message, {
      timeoutMilliseconds: OWNER_TIMEOUT_MS,
    });
    return result.ok
      ? decodeAnswer(result.val)
      : { result: "refused", reason: result.val.message };
  }

  /**
   * Claims at the owners, in the home domain. They are asked in the order of the key: of two
   * attempts at the same time one is first at the first owner, and gets the key.
   */
  async function claimAtOwners(
    attempt: ClaimAttempt,
    owners = chooseOwners(attempt.key, listMembers()),
  ): Promise<AttemptResult> {
    if (owners.length < OWNERS_PER_KEY) {
      return { result: "refused", reason: "The key has fewer than 2 owners" };
    }
    let isAuthoritative = false;
    const asked: HostName[] = [];
    for (const owner of owners) {
      asked.push(owner);
      const answer = await askOwner(owner, attempt, owners);
      if (answer.result !== "granted") {
        tellOwners(attempt, "released", asked);
        return answer;
      }
      isAuthoritative ||= answer.isAuthoritative;
    }
    if (!isAuthoritative) {
      tellOwners(attempt, "released", owners);
      return { result: "unknown", reason: "No owner of the key can tell" };
    }
    return { result: "granted", isAuthoritative };
  }

  function tellOwners(
    attempt: ClaimAttempt,
    end: ClaimEnd,
    owners: readonly HostName[],
  ): void {
    for (const owner of owners) {
      if (owner === ownHost) {
        endAttempt(table, attempt, { end, now: clock.now() });
      } else {
        deliver([owner], encodeAttempt(END_KIND, attempt, { end }));
      }
    }
  }

  /** Sends an end until one of the hosts, which are tried in turn, has confirmed it. */
  async function deliver(
    hosts: readonly HostName[],
    message: ClaimMessage,
  ): Promise<void> {
    for (let tries = 0; tries < END_TRIES && hosts.length > 0; tries += 1) {
      const host = hosts[tries % hosts.length];
      const result = await network.request(host, message, {
        timeoutMilliseconds: OWNER_TIMEOUT_MS,
      });
      if (result.ok || disposed) {
        return;
      }
      await clock.sleep(END_RETRY_MS);
    }
    log.write("warn", "claim.end-lost", {
      key: message.key,
      end: message.end,
      peer: hosts.join(),
    });
  }

  function listHomeDaemons({ key }: ClaimAttempt): HostName[] {
    const hosts = directory.remoteMembers.filter(({ failureDomain }) =>
      failureDomain === key.home
    ).map(({ process }) => process.host);
    return rankByRendezvous(key.text, hosts).slice(0, FORWARD_TRIES);
  }

  async function forward(
    attempt: ClaimAttempt,
    daemons: readonly HostName[],
  ): Promise<AttemptResult> {
    let reason = `No daemon of ${attempt.key.home} is known`;
    for (const daemon of daemons) {
      const message = encodeAttempt(FORWARD_KIND, attempt);
      const result = await network.request(daemon, message, {
        timeoutMilliseconds: FORWARD_TIMEOUT_MS,
      });
      if (result.ok) {
        return decodeAnswer(result.val);
      }
      reason = result.val.message;
      if (result.val.outcome !== "not-run") {
        const end = encodeAttempt(FORWARD_END_KIND, attempt, {
          end: "released",
        });
        deliver(daemons, end);
        break;
      }
    }
    return { result: "refused", reason };
  }

  /** `hosts` are the owners that granted, or daemons of another home domain. */
  function createClaim(
    attempt: ClaimAttempt,
    hosts: readonly HostName[],
  ): Claim {
    let ended = false;
    const finish = (end: ClaimEnd) => {
      if (ended) {
        return;
      }
      ended = true;
      if (attempt.key.home === self.failureDomain) {
        tellOwners(attempt, end, hosts);
      } else {
        deliver(hosts, encodeAttempt(FORWARD_END_KIND, attempt, { end }));
      }
    };
    return {
      release: () => finish("released"),
      complete: () => finish("answered"),
      abandon: () => finish("unknown"),
    };
  }

  function toAnswer(
    attempt: ClaimAttempt,
    result: AttemptResult,
    hosts: readonly HostName[],
  ): ClaimAnswer {
    switch (result.result) {
      case "granted":
        return { kind: "granted", claim: createClaim(attempt, hosts) };
      case "claimed":
        return { kind: "claimed", outcome: result.outcome };
      case "unknown":
        return { kind: "unknown", reason: result.reason };
      case "refused":
        return { kind: "unavailable", reason: result.reason };
    }
  }

  function answer(result: AttemptResult): AnswerMessage {
    return { kind: "claim-answer", ...result };
  }

  const INVALID: AttemptResult = {
    result: "refused",
    reason: "The attempt is not valid",
  };

  const handlers: Record<
    string,
    (message: LinkMessage) => LinkMessage | Promise<LinkMessage>
  > = {
    [CLAIM_KIND](message) {
      const attempt = decodeAttempt(message);
      const owners = (message as ClaimMessage).owners ?? [];
      return answer(attempt ? decide(attempt, owners) : INVALID);
    },
    async [FORWARD_KIND](message) {
      const attempt = decodeAttempt(message);
      const isHome = attempt?.key.home === self.failureDomain;
      return answer(
        attempt && isHome ? await claimAtOwners(attempt) : INVALID,
      );
    },
    [END_KIND](message) {
      const attempt = decodeAttempt(message);
      const end = decodeEnd(message);
      if (attempt && end) {
        endAttempt(table, attempt, { end, now: clock.now() });
      }
      return { kind: "claim-ended" };
    },
    [FORWARD_END_KIND](message) {
      const attempt = decodeAttempt(message);
      const end = decodeEnd(message);
      if (attempt && end) {
        tellOwners(attempt, end, chooseOwners(attempt.key, listMembers()));
      }
      return { kind: "claim-ended" };
    },
  };
  for (const [kind, handle] of Object.entries(handlers)) {
    owned.add(network.onRequest(kind, (_, message) => handle(message)));
  }
  owned.add(
    clock.repeat(EXPIRY_INTERVAL_MS, () => table.expire(clock.now())),
  );

  return {
    async claim(customer, text) {
      const key = parseIdempotencyKey(text);
      if (key === undefined) {
        const reason = "The key is not of the form FAILURE-DOMAIN.UUIDv7";
        return { kind: "malformed", reason };
      }
      const ageFault = findAgeFault(key, clock.now());
      if (ageFault !== undefined) {
        return { kind: "unknown", reason: ageFault };
      }
      lastAttempt += 1;
      const token = `${formatProcess(self.process)}/${lastAttempt}`;
      const attempt: ClaimAttempt = { customer, key, token };
      const isHome = key.home === self.failureDomain;
      const hosts = isHome
        ? chooseOwners(key, listMembers())
        : listHomeDaemons(attempt);
      const result =
        await (isHome
          ? claimAtOwners(attempt, hosts)
          : forward(attempt, hosts));
      return toAnswer(attempt, result, hosts);
    },
    dispose() {
      disposed = true;
      owned.dispose();
    },
  };
}
