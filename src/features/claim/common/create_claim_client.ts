/**
 * Claims keys at their owners, directly in the key's home domain and otherwise through one of its
 * daemons, and answers the claim attempts of other daemons.
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
import { findAgeProblem, parseIdempotencyKey } from "./idempotency_key.ts";

const OWNER_TIMEOUT_MS: Milliseconds = 500;

/** Two owners are asked in turn, plus the round trip to the home domain. */
const FORWARD_TIMEOUT_MS: Milliseconds = 2 * OWNER_TIMEOUT_MS + 300;
const MAXIMUM_FORWARD_ATTEMPTS = 3;

/** If the end of a claim is lost the key stays claimed, which is safe but refuses retries. */
const MAXIMUM_END_ATTEMPTS = 5;
const END_RETRY_MS: Milliseconds = 1_000;
const EXPIRY_INTERVAL_MS: Milliseconds = 10_000;

export interface ClaimClientOptions {
  readonly self: HostIdentity;
  /** Owners need the time since which they have been members without interruption. */
  readonly directory: Directory & Pick<MembershipDirectory, "presentSince">;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly log: EventLog;
  /** The maximum number of claims held as an owner. */
  readonly claimLimit?: number;
}

export function createClaimClient(options: ClaimClientOptions): ClaimClient {
  const { self, directory, network, clock, log } = options;
  const ownHost = self.process.host;
  const table = createClaimTable(options.claimLimit);
  const disposables = createDisposableStore();
  let lastAttemptNumber = 0;
  let disposed = false;

  function listMembers(): HostName[] {
    return directory.localMembers.map(({ process }) => process.host);
  }

  function decideLocally(
    attempt: ClaimAttempt,
    owners: readonly HostName[],
  ): AttemptResult {
    return decideAttempt(table, attempt, {
      owners,
      now: clock.now(),
      view: {
        self: ownHost,
        // Must be read first: reading it detects a pause of this process.
        presentSince: directory.presentSince,
        members: listMembers(),
        departures: directory.departures,
      },
    });
  }

  async function requestFromOwner(
    owner: HostName,
    attempt: ClaimAttempt,
    owners: readonly HostName[],
  ): Promise<AttemptResult> {
    if (owner === ownHost) {
      return decideLocally(attempt, owners);
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
   * Claims a key at its owners, as a daemon of the home domain. The owners are asked in rendezvous
   * order, so that of two concurrent attempts the one that reaches the first owner first wins.
   */
  async function claimAtOwners(
    attempt: ClaimAttempt,
    owners = chooseOwners(attempt.key, listMembers()),
  ): Promise<AttemptResult> {
    if (owners.length < OWNERS_PER_KEY) {
      return { result: "refused", reason: "The key has fewer than 2 owners" };
    }
    let isAuthoritative = false;
    const contactedOwners: HostName[] = [];
    for (const owner of owners) {
      contactedOwners.push(owner);
      const answer = await requestFromOwner(owner, attempt, owners);
      if (answer.result !== "granted") {
        notifyOwners(attempt, "released", contactedOwners);
        return answer;
      }
      isAuthoritative ||= answer.isAuthoritative;
    }
    if (!isAuthoritative) {
      notifyOwners(attempt, "released", owners);
      return {
        result: "unknown",
        reason: "No owner can tell whether the key was claimed before",
      };
    }
    return { result: "granted", isAuthoritative };
  }

  /** Ends a claim at its owners; in the local table if this daemon is one of them. */
  function notifyOwners(
    attempt: ClaimAttempt,
    end: ClaimEnd,
    owners: readonly HostName[],
  ): void {
    for (const owner of owners) {
      if (owner === ownHost) {
        endAttempt(table, attempt, { end, now: clock.now() });
      } else {
        sendEndWithRetries([owner], encodeAttempt(END_KIND, attempt, { end }));
      }
    }
  }

  /** Sends the end of a claim to the hosts in turn until one of them confirms it. */
  async function sendEndWithRetries(
    hosts: readonly HostName[],
    message: ClaimMessage,
  ): Promise<void> {
    for (
      let attempts = 0;
      attempts < MAXIMUM_END_ATTEMPTS && hosts.length > 0;
      attempts += 1
    ) {
      const host = hosts[attempts % hosts.length];
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

  function listHomeDomainDaemons({ key }: ClaimAttempt): HostName[] {
    const hosts = directory.remoteMembers.filter(({ failureDomain }) =>
      failureDomain === key.homeDomain
    ).map(({ process }) => process.host);
    return rankByRendezvous(key.text, hosts).slice(0, MAXIMUM_FORWARD_ATTEMPTS);
  }

  /**
   * Claims a key through daemons of its home domain. Tries the next daemon only if the previous
   * one did not run the request; after an unknown outcome the attempt is released.
   */
  async function forwardToHomeDomain(
    attempt: ClaimAttempt,
    daemons: readonly HostName[],
  ): Promise<AttemptResult> {
    let reason =
      `No daemon of failure domain ${attempt.key.homeDomain} is known`;
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
        sendEndWithRetries(daemons, end);
        break;
      }
    }
    return { result: "refused", reason };
  }

  /** `hosts` are the owners that granted the claim, or daemons of another home domain. */
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
      if (attempt.key.homeDomain === self.failureDomain) {
        notifyOwners(attempt, end, hosts);
      } else {
        sendEndWithRetries(
          hosts,
          encodeAttempt(FORWARD_END_KIND, attempt, { end }),
        );
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

  function toAnswerMessage(result: AttemptResult): AnswerMessage {
    return { kind: "claim-answer", ...result };
  }

  const INVALID_ATTEMPT: AttemptResult = {
    result: "refused",
    reason: "The claim attempt is invalid",
  };

  const handlers: Record<
    string,
    (message: LinkMessage) => LinkMessage | Promise<LinkMessage>
  > = {
    [CLAIM_KIND](message) {
      const attempt = decodeAttempt(message);
      const owners = (message as ClaimMessage).owners ?? [];
      return toAnswerMessage(
        attempt ? decideLocally(attempt, owners) : INVALID_ATTEMPT,
      );
    },
    async [FORWARD_KIND](message) {
      const attempt = decodeAttempt(message);
      const isHomeDomain = attempt?.key.homeDomain === self.failureDomain;
      return toAnswerMessage(
        attempt && isHomeDomain
          ? await claimAtOwners(attempt)
          : INVALID_ATTEMPT,
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
        notifyOwners(attempt, end, chooseOwners(attempt.key, listMembers()));
      }
      return { kind: "claim-ended" };
    },
  };
  for (const [kind, handle] of Object.entries(handlers)) {
    disposables.add(network.onRequest(kind, (_, message) => handle(message)));
  }
  disposables.add(
    clock.repeat(EXPIRY_INTERVAL_MS, () => table.expire(clock.now())),
  );

  return {
    async claim(customer, text) {
      const key = parseIdempotencyKey(text);
      if (key === undefined) {
        const reason = "The key is not of the form FAILURE-DOMAIN.UUIDv7";
        return { kind: "malformed", reason };
      }
      const ageProblem = findAgeProblem(key, clock.now());
      if (ageProblem !== undefined) {
        return { kind: "unknown", reason: ageProblem };
      }
      lastAttemptNumber += 1;
      const token = `${formatProcess(self.process)}/${lastAttemptNumber}`;
      const attempt: ClaimAttempt = { customer, key, token };
      const isHomeDomain = key.homeDomain === self.failureDomain;
      const hosts = isHomeDomain
        ? chooseOwners(key, listMembers())
        : listHomeDomainDaemons(attempt);
      const result =
        await (isHomeDomain
          ? claimAtOwners(attempt, hosts)
          : forwardToHomeDomain(attempt, hosts));
      return toAnswer(attempt, result, hosts);
    },
    dispose() {
      disposed = true;
      disposables.dispose();
    },
  };
}
