/**
 * Sends the reports of a daemon to the granters of its accounts.
 *
 * Load pattern: a daemon has calls of many accounts, a few of them urgent. A message to a granter carries all
 * accounts of this granter that have calls to report; granters without a due account wait.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { AccountName, HostName } from "../../../world/common/names.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import {
  ACCOUNT_REPORT_KIND,
  type AccountReportMessage,
  type ReportRow,
} from "./account_messages.ts";
import { createReportRow, type UsedAccount } from "./account_report_row.ts";
import { SILENT_MS } from "./silence.ts";
import type { GranterContacts } from "./granter_contacts.ts";
import { EARLY_REPORT_MS, REPORT_MS } from "./report_interval.ts";

export interface AccountReporter extends Disposable {
  /** Reports an account after this interval at the latest. */
  schedule(account: AccountName, interval: Milliseconds): void;
  /** Forgets what is due. */
  stop(): void;
}

export interface AccountReporterOptions {
  readonly self: HostName;
  readonly clock: Clock;
  readonly network: Pick<PeerNetwork, "findPeer" | "send">;
  readonly contacts: GranterContacts;
  readonly used: ReadonlyMap<AccountName, UsedAccount>;
  /** Handles a report of this daemon to itself. */
  readonly reportToSelf: (
    rows: readonly ReportRow[],
    now: Milliseconds,
  ) => void;
}

export function createAccountReporter(
  { self, clock, network, contacts, used, reportToSelf }:
    AccountReporterOptions,
): AccountReporter {
  const dueAt = new Map<AccountName, Milliseconds>();
  let timer: Disposable | undefined;
  let timerDueAt = Infinity;
  let silenceTimer: Disposable | undefined;
  let reportedAt = -Infinity;
  let sequence = 0;

  function schedule(name: AccountName, interval: Milliseconds): void {
    const now = clock.now();
    // Reports at the usual interval or earlier keep a distance to the last ones; the others wait for the interval.
    const at = interval > REPORT_MS
      ? now + interval
      : Math.max(reportedAt + interval, now + EARLY_REPORT_MS);
    if (used.has(name) && at < (dueAt.get(name) ?? Infinity)) {
      dueAt.set(name, at);
      startTimer(at);
    }
  }

  function startTimer(at: Milliseconds): void {
    if (at < timerDueAt) {
      timer?.dispose();
      timerDueAt = at;
      timer = clock.schedule(at - clock.now(), sendReports);
    }
  }

  /** Returns the granters of the accounts that are due, or nearly so. */
  function takeDueHosts(now: Milliseconds): ReadonlySet<HostName> {
    const hosts = new Set<HostName>();
    for (const [name, at] of dueAt) {
      if (at <= now + EARLY_REPORT_MS) {
        dueAt.delete(name);
        hosts.add(contacts.find(name));
      }
    }
    return hosts;
  }

  function sendReports(): void {
    const now = clock.now();
    timer = undefined;
    timerDueAt = Infinity;
    reportedAt = now;
    contacts.update(now);
    const hosts = takeDueHosts(now);
    const batches = new Map<HostName, ReportRow[]>();
    for (const [name, account] of used) {
      if (!account.share.hasUnreported) {
        continue;
      }
      const host = contacts.find(name);
      if (hosts.has(host)) {
        const rows = batches.get(host) ?? [];
        const startedAt = network.findPeer(host)?.process.startedAt;
        const granter = { host, process: `${host}@${startedAt ?? ""}` };
        rows.push(createReportRow(name, account, { granter, now }));
        batches.set(host, rows);
        dueAt.delete(name);
      }
    }
    for (const [host, rows] of batches) {
      sendReport(host, rows, now);
    }
    // An empty report finds out whether a granter that was passed over responds again.
    for (const host of contacts.takeDueProbes(now)) {
      sendReport(host, [], now);
    }
    startTimer(Math.min(...dueAt.values()));
  }

  function sendReport(
    host: HostName,
    rows: readonly ReportRow[],
    now: Milliseconds,
  ): void {
    if (host === self) {
      reportToSelf(rows, now);
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
      schedule(name, REPORT_MS);
    }
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
          schedule(name, EARLY_REPORT_MS);
        }
      }
    }
    if (awaitsResponse) {
      silenceTimer = clock.schedule(REPORT_MS, reportAgain);
    }
  }

  function stop(): void {
    dueAt.clear();
    timer?.dispose();
    timer = undefined;
    timerDueAt = Infinity;
    silenceTimer?.dispose();
    silenceTimer = undefined;
  }

  return { schedule, stop, dispose: stop };
}
