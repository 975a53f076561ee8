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

import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { SECOND_MS } from "../../../base/common/milliseconds.ts";
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
  ACCOUNT_REPORT_KIND,
  type AccountGrantMessage,
  type AccountNoticeMessage,
  type AccountReportMessage,
  type GrantRow,
  LIMITED,
  NOT_GRANTER,
  NOT_READY,
  type NoticeRow,
  type ReportRow,
} from "./account_messages.ts";
import { listenForAccountMessages } from "./account_message_listener.ts";
import {
  type AccountShare,
  createAccountShare,
  SILENT_MS,
} from "./account_share.ts";
import { createReportRow, type UsedAccount } from "./account_report_row.ts";
import { collectLimits } from "./limit_collection.ts";
import { listUsage } from "./account_usage.ts";
import { createGranterContacts } from "./granter_contacts.ts";

const REPORT_MS: Milliseconds = 200;
const EARLY_REPORT_MS: Milliseconds = 50;
/** More calls than this part of a report interval's share are reported early; a few calls may be chance. */
const EARLY_PART = 1.5;
const EARLY_CALLS = 3;
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
  });
  let limits: ReadonlyMap<AccountName, AccountLimit> = new Map();
  let timer: Disposable | undefined;
  let timerDueAt = Infinity;
  let silenceTimer: Disposable | undefined;
  let reportedAt = -Infinity;
  let sequence = 0;

  const isEstablished = () => clock.now() - startedAt >= ESTABLISHED_MS;
  const granter = disposables.add(createAccountGranter({
    clock,
    log,
    limits: () => limits,
    hosts() {
      contacts.update(clock.now());
      return contacts.hosts;
    },
    isEstablished,
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

  function isInTouch(name: AccountName, share: AccountShare): boolean {
    const host = contacts.find(name);
    if (host === self) {
      return contacts.isComplete;
    }
    // Responses that came during a delay of the event loop are handled after it, perhaps after further calls.
    const now = clock.now() - options.loopDelay();
    return !share.isUnanswered(host, now) && !contacts.isSilent(host, now) &&
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
      isInTouch: isInTouch(name, share),
      now,
    });
    const usual = share.heldRate(now) * REPORT_MS / SECOND_MS;
    const isUrgent = decision.type === "admitted"
      ? share.unreportedAdmitted >= Math.max(EARLY_CALLS, usual * EARLY_PART)
      : usual === 0;
    scheduleReports(isUrgent ? EARLY_REPORT_MS : REPORT_MS);
    return decision.type === "refused"
      ? decision
      : { type: "admitted", permit: createPermit(share) };
  }

  function createPermit(share: AccountShare): AccountPermit {
    let isGivenBack = false;
    return {
      giveBack() {
        if (!isGivenBack) {
          isGivenBack = true;
          share.giveBack();
          scheduleReports(REPORT_MS);
        }
      },
    };
  }

  /** Sends reports once this time has passed since the last ones. */
  function scheduleReports(interval: Milliseconds): void {
    const now = clock.now();
    const dueAt = Math.max(reportedAt + interval, now + EARLY_REPORT_MS);
    if (limits.size > 0 && dueAt < timerDueAt) {
      timer?.dispose();
      timerDueAt = dueAt;
      timer = clock.schedule(dueAt - now, sendReports);
    }
  }

  function sendReports(): void {
    const now = clock.now();
    timer = undefined;
    timerDueAt = Infinity;
    reportedAt = now;
    contacts.update(now);
    const batches = new Map<HostName, ReportRow[]>();
    for (const [name, account] of used) {
      if (account.share.hasUnreported) {
        const host = contacts.find(name);
        const rows = batches.get(host) ?? [];
        const startedAt = network.findPeer(host)?.process.startedAt;
        const granter = { host, process: `${host}@${startedAt ?? ""}` };
        rows.push(createReportRow(name, account, { granter, now }));
        batches.set(host, rows);
      }
    }
    for (const [host, rows] of batches) {
      sendReport(host, rows, now);
    }
    // An empty report finds out whether a granter that was passed over responds again.
    for (const host of contacts.takeDueProbes(now)) {
      sendReport(host, [], now);
    }
  }

  function sendReport(
    host: HostName,
    rows: readonly ReportRow[],
    now: Milliseconds,
  ): void {
    if (host === self) {
      applyGrants(self, handleReport(self, rows), now);
      return;
    }
    sequence += 1;
    const message: AccountReportMessage = {
      kind: ACCOUNT_REPORT_KIND,
      sequence,
      rows,
    };
    if (network.send(host, message)) {
      contacts.recordSent(host, sequence, now);
      silenceTimer ??= clock.schedule(SILENT_MS, reportAgain);
      return;
    }
    contacts.recordUnsent(host, now);
    for (const [name, , admitted] of rows) {
      used.get(name)?.share.restoreUnreported(admitted);
    }
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

  /** Reports accounts whose granter is silent to the next one; their next calls may be seconds away. */
  function reportAgain(): void {
    const now = clock.now();
    silenceTimer = undefined;
    contacts.update(now);
    let awaitsResponse = false;
    for (const [name, { share, reportedTo }] of used) {
      if (share.awaitsResponse(now)) {
        awaitsResponse = true;
        if (contacts.find(name) !== reportedTo) {
          share.restoreUnreported(0);
          scheduleReports(EARLY_REPORT_MS);
        }
      }
    }
    if (awaitsResponse) {
      silenceTimer = clock.schedule(REPORT_MS, reportAgain);
    }
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
      scheduleReports(REPORT_MS);
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
      } else if (code === NOT_GRANTER) {
        share.disown(host);
        contacts.hastenProbes();
        scheduleReports(EARLY_REPORT_MS);
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
      const sentAt = contacts.recordResponse(host, number);
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

  function stopTimers(): void {
    timer?.dispose();
    timer = undefined;
    timerDueAt = Infinity;
    silenceTimer?.dispose();
    silenceTimer = undefined;
  }

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
        stopTimers();
      }
    },
    admit,
    get usage() {
      return listUsage(used, limits, clock.now());
    },
    dispose() {
      stopTimers();
      disposables.dispose();
    },
  };
}
