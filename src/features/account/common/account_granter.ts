/**
 * The granter of accounts: keeps the ledgers of the accounts that fall to this daemon and responds to reports.
 *
 * Load pattern: the clients of a small account are spread over more hosts than it may admit calls. Hosts without
 * demand have no rate and would each admit a first call, so all hosts are told when an account becomes limited or
 * free, in one message for all accounts that do so at a time.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";
import { computeAdmittedPart, computeGrant } from "./account_granting.ts";
import {
  type AccountLedger,
  computeReachablePart,
  computeTakeoverCredit,
  createLedger,
  type GrantingHosts,
  recordGrant,
  recordReport,
  updateLedger,
} from "./account_ledger.ts";
import {
  FREE,
  type GrantRow,
  LIMITED,
  type NoticeRow,
  type ReportRow,
  roundRate,
} from "./account_messages.ts";

const UPDATE_MS: Milliseconds = 200;
/** Notices of a limited account are repeated before daemons take it for free again. */
const NOTICE_REPEAT_MS: Milliseconds = 2_000;
/** Notices are also repeated when the part of the calls to admit has changed by this factor, but not more often. */
const NOTICE_CHANGE_FACTOR = 1.5;
const NOTICE_CHANGE_MS: Milliseconds = 400;
/** Collects the notices of accounts that change at about the same time. */
const NOTICE_BATCH_MS: Milliseconds = 20;
/** An account without reports for this long is forgotten once its bucket is full. */
const FORGOTTEN_MS: Milliseconds = 10_000;

export interface AccountGranterOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly limits: () => ReadonlyMap<AccountName, AccountLimit>;
  readonly hosts: (isForLimited: boolean) => GrantingHosts;
  /** Whether this daemon has been running for long enough to know what was admitted. */
  readonly isEstablished: () => boolean;
  readonly uptime: () => Milliseconds;
  readonly announce: (rows: readonly NoticeRow[]) => void;
}

export interface AccountGranter extends Disposable {
  readonly ledgers: number;
  /** Records reports of a daemon and returns what it may admit. */
  handleReport(host: HostName, rows: readonly ReportRow[]): readonly GrantRow[];
  /** Forgets the accounts that have no limit any more. */
  applyLimits(): void;
}

/** A part of 1 says that the account is free. */
const MAXIMUM_LIMITED_PART = 0.999;

interface GrantedAccount {
  ledger: AccountLedger;
  reportedAt: Milliseconds;
  noticedAt: Milliseconds;
  noticedPart: number;
}

export function createAccountGranter(
  { clock, log, limits, hosts, isEstablished, uptime, announce }:
    AccountGranterOptions,
): AccountGranter {
  const accounts = new Map<AccountName, GrantedAccount>();
  const notices = new Map<AccountName, number>();
  let timer: Disposable | undefined;
  let noticeTimer: Disposable | undefined;

  function hostsFor({ ledger }: GrantedAccount): GrantingHosts {
    return hosts(ledger.limitedAt !== undefined);
  }

  /** Brings an account up to date and queues the notice that is due, if any. */
  function update(
    name: AccountName,
    account: GrantedAccount,
    limit: AccountLimit,
  ): void {
    const now = clock.now();
    const wasLimited = account.noticedAt > -Infinity;
    account.ledger = updateLedger(
      account.ledger,
      limit,
      hostsFor(account),
      now,
    );
    const isLimited = account.ledger.limitedAt !== undefined;
    if (isLimited !== wasLimited) {
      log.write("info", isLimited ? "account.limited" : "account.unlimited", {
        account: name,
        limit: limit.requestsPerSecond,
        level: Math.round(account.ledger.bucket.level),
        reporters: account.ledger.reporters.size,
      });
    }
    if (isLimited && isNoticeDue(account, limit)) {
      account.noticedAt = now;
      const part = computeAdmittedPart(
        account.ledger,
        limit,
        hostsFor(account),
      );
      account.noticedPart = part;
      queueNotice(name, Math.min(MAXIMUM_LIMITED_PART, roundRate(part)));
    } else if (
      !isLimited && (wasLimited || isTakeoverUnannounced(account.ledger))
    ) {
      account.noticedAt = -Infinity;
      queueNotice(name, 1);
      account.ledger = { ...account.ledger, isTakeoverAnnounced: true };
    }
  }

  function flushNotices(): void {
    noticeTimer = undefined;
    announce([...notices]);
    notices.clear();
  }

  function queueNotice(name: AccountName, admittedPart: number): void {
    notices.set(name, admittedPart);
    noticeTimer ??= clock.schedule(NOTICE_BATCH_MS, flushNotices);
  }

  function updateAll(): void {
    timer = undefined;
    const now = clock.now();
    for (const [name, account] of accounts) {
      const limit = limits().get(name);
      if (limit === undefined) {
        accounts.delete(name);
        continue;
      }
      update(name, account, limit);
      const { bucket } = account.ledger;
      if (
        now - account.reportedAt > FORGOTTEN_MS && bucket.level >= limit.burst
      ) {
        accounts.delete(name);
      }
    }
    scheduleUpdate();
  }

  function scheduleUpdate(): void {
    if (timer === undefined && accounts.size > 0) {
      timer = clock.schedule(UPDATE_MS, updateAll);
    }
  }

  /** A new granter announces a free account, since some daemons only know the silent granter before it. */
  function isTakeoverUnannounced(
    { isTakeoverAnnounced, settlesAt }: AccountLedger,
  ): boolean {
    return !isTakeoverAnnounced && clock.now() >= settlesAt;
  }

  function isNoticeDue(
    account: GrantedAccount,
    limit: AccountLimit,
  ): boolean {
    const { ledger, noticedAt, noticedPart } = account;
    const elapsed = clock.now() - noticedAt;
    if (elapsed < NOTICE_CHANGE_MS) {
      return false;
    }
    const part = computeAdmittedPart(ledger, limit, hostsFor(account));
    return elapsed >= NOTICE_REPEAT_MS ||
      part > noticedPart * NOTICE_CHANGE_FACTOR ||
      part < noticedPart / NOTICE_CHANGE_FACTOR;
  }

  function getAccount(name: AccountName, limit: AccountLimit): GrantedAccount {
    const now = clock.now();
    let account = accounts.get(name);
    if (account === undefined) {
      account = {
        ledger: createLedger(limit, {
          now,
          isEstablished: isEstablished(),
          uptime: uptime(),
          reachablePart: computeReachablePart(hosts(true)),
        }),
        reportedAt: now,
        // A new granter limits accounts until it knows more, which only daemons with demand need to know.
        noticedAt: isEstablished() ? -Infinity : now,
        noticedPart: 1,
      };
      accounts.set(name, account);
    }
    return account;
  }

  function clear(): void {
    accounts.clear();
    notices.clear();
    timer?.dispose();
    noticeTimer?.dispose();
    timer = undefined;
    noticeTimer = undefined;
  }

  return {
    get ledgers() {
      return accounts.size;
    },
    handleReport(host, rows) {
      const now = clock.now();
      const grants: GrantRow[] = [];
      for (const [name, demand, admitted, heldRate, wasLimited, debt] of rows) {
        const limit = limits().get(name);
        if (limit === undefined) {
          continue;
        }
        const account = getAccount(name, limit);
        account.reportedAt = now;
        account.ledger = updateLedger(
          account.ledger,
          limit,
          hostsFor(account),
          now,
        );
        account.ledger = recordReport(
          account.ledger,
          {
            host,
            demand,
            admitted,
            takeover: heldRate === undefined ? undefined : {
              heldRate,
              isLimited: wasLimited === 1,
              debt: (debt ?? 0) * computeReachablePart(hostsFor(account)),
              credit: computeTakeoverCredit(
                account.ledger,
                limit,
                hostsFor(account),
              ),
            },
          },
          now,
        );
        update(name, account, limit);
        const grant = computeGrant(
          account.ledger,
          host,
          limit,
          hostsFor(account),
          now,
        );
        recordGrant(account.ledger, host, grant.requestsPerSecond);
        const rate = roundRate(grant.requestsPerSecond);
        grants.push(
          grant.isLimited
            ? [name, rate, LIMITED, Math.round(grant.debt)]
            : [name, rate, FREE],
        );
      }
      scheduleUpdate();
      return grants;
    },
    applyLimits() {
      for (const name of [...accounts.keys()]) {
        if (!limits().has(name)) {
          accounts.delete(name);
        }
      }
      if (accounts.size === 0) {
        clear();
      }
    },
    dispose: clear,
  };
}
