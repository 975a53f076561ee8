/**
 * Keeps the limits of client accounts over all hosts: admits calls on this daemon, reports them to the granter of
 * each account, and is the granter of some accounts itself.
 *
 * Load pattern: many accounts of skewed size on many small hosts, where most have no call for seconds. Only accounts
 * with calls cause messages, one for all accounts of a granter at a time; without accounts in the configuration
 * there are no timers and no state.
 *
 * @module
 */

import { createDisposableStore } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountLimit } from "../../../world/common/client_account.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";
import type {
  AccountAdmission,
  AccountLimits,
  AccountLimitsOptions,
  AccountPermit,
} from "./account_admission.ts";
import { createAccountGranter } from "./account_granter.ts";
import {
  ACCOUNT_GRANT_KIND,
  ACCOUNT_NOTICE_KIND,
  type AccountGrantMessage,
  type AccountNoticeMessage,
  type GrantRow,
  LIMITED,
  NOT_GRANTER,
  NOT_READY,
  type NoticeRow,
  type ReportRow,
} from "./account_messages.ts";
import { listenForAccountMessages } from "./account_message_listener.ts";
import type { UsedAccount } from "./account_report_row.ts";
import { createAccountReporter } from "./account_reporter.ts";
import { type AccountShare, createAccountShare } from "./account_share.ts";
import { computeFallbackRate } from "./fallback_share.ts";
import { collectLimits } from "./limit_collection.ts";
import { listUsage } from "./account_usage.ts";
import { createGranterContacts } from "./granter_contacts.ts";
import {
  chooseReportInterval,
  EARLY_REPORT_MS,
  REPORT_MS,
} from "./report_interval.ts";

/** From then on a daemon has seen the reports of all others, and links to them are open. */
const ESTABLISHED_MS: Milliseconds = 10_000;

export type {
  AccountAdmission,
  AccountLimits,
  AccountLimitsOptions,
  AccountPermit,
} from "./account_admission.ts";

const UNLIMITED: AccountAdmission = {
  type: "admitted",
  permit: { giveBack() {} },
};

export function createAccountLimits(
  options: AccountLimitsOptions,
): AccountLimits {
  const { clock, log, network, random } = options;
  const self = options.self.host;
  const startedAt = clock.now();
  const used = new Map<AccountName, UsedAccount>();
  const disposables = createDisposableStore();
  const contacts = createGranterContacts({
    self,
    startedAt,
    listHosts: options.listHosts,
    areHostsListed: options.areHostsListed,
    countLinks: () => network.peers.length,
  });
  let limits: ReadonlyMap<AccountName, AccountLimit> = new Map();
  const reporter = disposables.add(createAccountReporter({
    self,
    clock,
    network,
    contacts,
    used,
    reportToSelf: (rows, now) =>
      applyGrants(self, handleReport(self, rows), now),
  }));

  const isEstablished = () => clock.now() - startedAt >= ESTABLISHED_MS;
  const granter = disposables.add(createAccountGranter({
    clock,
    log,
    limits: () => limits,
    hosts(isForLimited) {
      contacts.update(clock.now(), isForLimited);
      return contacts.hosts;
    },
    isEstablished,
    uptime: () => clock.now() - startedAt,
    announce(rows) {
      const message: AccountNoticeMessage = { kind: ACCOUNT_NOTICE_KIND, rows };
      network.sendToAll(
        network.peers.map(({ process }) => process.host),
        message,
      );
      applyNotices(self, rows);
    },
  }));

  function getUsed(name: AccountName, limit: AccountLimit): UsedAccount {
    let account = used.get(name);
    if (account === undefined) {
      account = {
        share: createAccountShare(limit, { now: clock.now(), random }),
        granter: undefined,
        reportedTo: undefined,
        reportedAt: -Infinity,
      };
      used.set(name, account);
    }
    return account;
  }

  function isInTouch(
    name: AccountName,
    share: AccountShare,
    limit: AccountLimit,
  ): boolean {
    const host = contacts.find(name);
    if (host === self) {
      return contacts.isComplete;
    }
    // Responses that came during a delay of the event loop are handled after it, perhaps after further calls.
    const now = clock.now() - options.loopDelay();
    const isUnanswered = share.isUnanswered(host, {
      fallbackRate: computeFallbackRate(limit, contacts.sharingHosts),
      responseTime: contacts.responseTime,
      now,
    });
    return !isUnanswered &&
      !contacts.isSilent(host, now) &&
      (share.isGranterHeard || isEstablished() || isOlder(host));
  }

  /**
   * Whether a granter was established when this daemon started: the fleet has not been restarted as a whole, so
   * the first calls need not wait for a grant.
   */
  function isOlder(host: HostName): boolean {
    const granterStartedAt = network.findPeer(host)?.process.startedAt;
    return granterStartedAt !== undefined &&
      options.self.startedAt - granterStartedAt >= ESTABLISHED_MS;
  }

  function admit(name: AccountName): AccountAdmission {
    const limit = limits.get(name);
    if (limit === undefined) {
      return UNLIMITED;
    }
    const { share } = getUsed(name, limit);
    const now = clock.now();
    contacts.update(now);
    const decision = share.admit({
      limit,
      hosts: contacts.sharingHosts,
      isInTouch: isInTouch(name, share, limit),
      uptime: now - startedAt,
      now,
    });
    const interval = chooseReportInterval({
      limit,
      isAdmitted: decision.type === "admitted",
      isLimited: share.isLimited(now) || !share.isGranterHeard,
      heldRate: share.heldRate(now),
      reportedDemand: share.reportedDemand,
      usedPart: share.usedPart(now),
      unreported: share.unreportedAdmitted,
    });
    reporter.schedule(name, interval);
    return decision.type === "refused"
      ? decision
      : { type: "admitted", permit: createPermit(name, share) };
  }

  function createPermit(
    name: AccountName,
    share: AccountShare,
  ): AccountPermit {
    let isGivenBack = false;
    return {
      giveBack() {
        if (!isGivenBack) {
          isGivenBack = true;
          share.giveBack();
          reporter.schedule(name, REPORT_MS);
        }
      },
    };
  }

  /** A daemon without a configuration would respond without grants, and its callers would wait for them. */
  function canGrant(): boolean {
    return contacts.isComplete && limits.size > 0;
  }

  /** An empty report asks whether this daemon can be a granter. */
  function isReadyFor(rows: readonly ReportRow[]): boolean {
    contacts.update(clock.now());
    return canGrant() || rows.length > 0;
  }

  function handleReport(
    host: HostName,
    rows: readonly ReportRow[],
  ): readonly GrantRow[] {
    if (!canGrant()) {
      return rows.map(([name]) => [name, 0, NOT_READY]);
    }
    const isOwn = ([name]: ReportRow) => contacts.find(name) === self;
    const others = rows.filter((row) => limits.has(row[0]) && !isOwn(row));
    for (const [name] of others) {
      // The reporter may know that the granter does not respond. A report of its own shows it to this daemon.
      getUsed(name, limits.get(name)!).share.restoreUnreported(0);
      reporter.schedule(name, REPORT_MS);
    }
    return [
      ...granter.handleReport(host, rows.filter(isOwn)),
      ...others.map(([name]) => [name, 0, NOT_GRANTER] as const),
    ];
  }

  function applyGrants(
    host: HostName,
    rows: readonly GrantRow[],
    sentAt: Milliseconds,
  ): void {
    const asked = rows.filter(([name]) => contacts.find(name) === host);
    for (const [name, requestsPerSecond, code, debt] of asked) {
      const share = used.get(name)?.share;
      if (share === undefined) {
        continue;
      }
      if (code === NOT_READY) {
        // When the whole fleet restarts, all daemons wait for the same granter.
        if (isEstablished()) {
          contacts.exclude(host);
        }
        share.postpone();
        reporter.schedule(name, REPORT_MS);
      } else if (code === NOT_GRANTER) {
        share.disown(host);
        contacts.hastenProbes();
        reporter.schedule(name, EARLY_REPORT_MS);
      } else {
        share.applyGrant({
          requestsPerSecond,
          isLimited: code === LIMITED,
          debt: debt ?? 0,
          sentAt,
        });
      }
    }
  }

  function applyNotices(host: HostName, rows: readonly NoticeRow[]): void {
    const now = clock.now();
    contacts.update(now);
    for (const [name, part] of rows) {
      const limit = limits.get(name);
      if (limit !== undefined && contacts.find(name) === host) {
        getUsed(name, limit).share.applyNotice(part, now);
      }
    }
  }

  disposables.add(listenForAccountMessages({
    network,
    log,
    onReport(host, { sequence: number, rows }) {
      if (isReadyFor(rows)) {
        const response: AccountGrantMessage = {
          kind: ACCOUNT_GRANT_KIND,
          sequence: number,
          rows: handleReport(host, rows),
        };
        network.send(host, response);
      }
    },
    onGrant(host, { sequence: number, rows }) {
      const sentAt = contacts.recordResponse(host, number, clock.now());
      if (sentAt !== undefined) {
        applyGrants(host, rows, sentAt);
      }
    },
    onNotice: (host, { rows }) => applyNotices(host, rows),
  }));
  const resetContact = (peer: { readonly process: { host: HostName } }) =>
    contacts.reset(peer.process.host);
  disposables.add(network.onLinkOpened(resetContact));
  disposables.add(network.onLinkClosed(resetContact));

  return {
    setAccounts(accounts) {
      const next = collectLimits(accounts);
      for (const [name, { share }] of used) {
        const limit = next.get(name);
        const before = limits.get(name);
        if (limit === undefined || before === undefined) {
          used.delete(name);
        } else {
          share.changeLimit(before, limit);
        }
      }
      limits = next;
      granter.applyLimits();
      if (next.size === 0) {
        reporter.stop();
      }
    },
    admit,
    get usage() {
      return listUsage(used, limits, clock.now());
    },
    dispose: disposables.dispose,
  };
}
