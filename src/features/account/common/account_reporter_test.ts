import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import type { AccountReportMessage } from "./account_messages.ts";
import type { UsedAccount } from "./account_report_row.ts";
import { createAccountReporter } from "./account_reporter.ts";
import { createAccountShare } from "./account_share.ts";
import { createGranterContacts } from "./granter_contacts.ts";
import { rankGranters } from "./granter_choice.ts";

const HOSTS = ["h0", "h1", "h2"];
const LIMIT = { requestsPerSecond: 10, burst: 5 };

/** Returns names of accounts whose granter is a host. */
function nameAccounts(host: string, count: number): readonly string[] {
  return Array.from({ length: 100 }, (_, index) => `account-${index}`)
    .filter((name) => rankGranters(name, HOSTS)[0] === host).slice(0, count);
}

// Guards against a message for each account, and against accounts that are reported before they are due.
test("a message to a granter carries all of its accounts, and others wait", () => {
  const clock = new VirtualClock(1_000_000);
  const used = new Map<string, UsedAccount>();
  const sent: [number, string, readonly string[]][] = [];
  const contacts = createGranterContacts({
    self: "h0",
    startedAt: 0,
    listHosts: () => HOSTS.map((host) => ({ host, isReachable: true })),
    countLinks: () => HOSTS.length - 1,
    areHostsListed: () => true,
  });
  contacts.update(clock.now());
  const reporter = createAccountReporter({
    self: "h0",
    clock,
    contacts,
    used,
    network: {
      findPeer: () => undefined,
      send(host: string, message: LinkMessage) {
        const { rows, sequence } = message as AccountReportMessage;
        clock.schedule(
          4,
          () => contacts.recordResponse(host, sequence, clock.now()),
        );
        sent.push([clock.now() - 1_000_000, host, rows.map(([name]) => name)]);
        return true;
      },
    },
    reportToSelf() {},
  });
  const call = (name: string, interval: number) => {
    const share = createAccountShare(LIMIT, {
      now: clock.now(),
      random: createRandomSource(1),
    });
    share.admit({
      limit: LIMIT,
      hosts: 3,
      isInTouch: true,
      uptime: 20_000,
      now: clock.now(),
    });
    used.set(name, {
      share,
      granter: undefined,
      reportedTo: undefined,
      reportedAt: -Infinity,
    });
    reporter.schedule(name, interval);
  };
  const [calm, urgent] = nameAccounts("h1", 2);
  const [waiting] = nameAccounts("h2", 1);
  call(calm, 1_000);
  call(waiting, 1_000);
  clock.advance(100);
  call(urgent, 50);
  clock.advance(2_000);
  assert.deepEqual(sent, [
    [150, "h1", [calm, urgent]],
    [1_000, "h2", [waiting]],
  ]);
  reporter.dispose();
});
