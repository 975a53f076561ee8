import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createGranterContacts,
  type GranterContacts,
} from "./granter_contacts.ts";

const HOSTS = ["h0", "h1", "h2"];

/** Returns how often the hosts are read within the second after an action, with a call each 10 ms. */
function countReads(
  act: (contacts: GranterContacts, setLost: () => void, now: number) => void,
): number {
  let reads = 0;
  let isLost = false;
  const contacts = createGranterContacts({
    self: "h0",
    startedAt: 0,
    countLinks: () => HOSTS.length - 1,
    areHostsListed: () => true,
    listHosts() {
      reads += 1;
      return HOSTS.map((host) => ({
        host,
        isReachable: host !== "h2" || !isLost,
      }));
    },
  });
  let now = 10_000;
  for (; now < 20_000; now += 10) {
    contacts.update(now);
  }
  act(contacts, () => isLost = true, now);
  for (; now < 21_000; now += 10) {
    contacts.update(now);
  }
  reads = 0;
  for (; now < 22_000; now += 10) {
    contacts.update(now);
  }
  return reads;
}

// Guards against a list as long as the fleet that is read with each message, and against a cut that is noticed late.
describe("the list of hosts is read within a second", () => {
  const cases: readonly [
    string,
    number,
    Parameters<typeof countReads>[0],
  ][] = [
    ["while nothing changes", 1, () => {}],
    ["after a host was lost", 10, (_, setLost) => setLost()],
    [
      "after a link was opened or closed",
      10,
      (contacts) => contacts.reset("h1"),
    ],
    [
      "after a report without a response",
      10,
      (contacts, _, now) => contacts.recordSent("h1", 1, now),
    ],
    ["after a report with a response", 1, (contacts, _, now) => {
      contacts.recordSent("h1", 1, now);
      contacts.recordResponse("h1", 1, now);
    }],
  ];
  for (const [name, expected, act] of cases) {
    test(`${expected} times ${name}`, () =>
      assert.equal(countReads(act), expected));
  }
});

// Guards against two granters of an account while the store is down: each daemon knows the hosts that have linked to it.
describe("a daemon with links to all hosts of its list", () => {
  const cases: readonly [string, boolean, number][] = [
    ["can grant 0.3 s after it has read the list", true, 300],
    ["can grant 1 s after it has learnt the list from links", false, 1_000],
  ];
  for (const [name, isListed, expected] of cases) {
    test(name, () => {
      const hosts = Array.from({ length: 40 }, (_, index) => `h${index}`);
      const contacts = createGranterContacts({
        self: "h0",
        startedAt: 0,
        countLinks: () => hosts.length - 1,
        areHostsListed: () => isListed,
        listHosts: () => hosts.map((host) => ({ host, isReachable: true })),
      });
      let now = 0;
      for (contacts.update(now); !contacts.isComplete; now += 100) {
        contacts.update(now + 100);
      }
      assert.equal(now, expected);
    });
  }
});
