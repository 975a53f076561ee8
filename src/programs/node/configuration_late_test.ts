import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { HostName } from "../../world/common/names.ts";
import {
  createSpreadFleet,
  type HostFault,
  type SpreadFleet,
} from "./spread_fixture.ts";

/** The time within which a version has to be in force on every host, by deployment. */
const DEPLOYMENTS = [
  { hosts: 10, failureDomains: 3, bound: 2_000 },
  { hosts: 68, failureDomains: 4, bound: 2_500 },
  { hosts: 200, failureDomains: 6, bound: 3_000 },
];
const START_MS = 4_000;

type FaultName =
  | "slow"
  | "paused"
  | "cut off from the others"
  | "not answered by the store"
  | "restarted";

const FAULTS: Readonly<Record<Exclude<FaultName, "restarted">, HostFault>> = {
  "slow": { slowdown: 100 },
  "paused": { isPaused: true },
  "cut off from the others": { isCutOff: true },
  "not answered by the store": { isStoreSilent: true },
};
const FAULT_NAMES: readonly FaultName[] = [
  "slow",
  "paused",
  "cut off from the others",
  "not answered by the store",
  "restarted",
];
/** Hosts with these faults still reach the store, so they must have the version in time as well. */
const BINDING_FAULTS: readonly FaultName[] = [
  "cut off from the others",
];

/** The hosts that a fault hits, by what they do. */
type Role =
  | "one reader of each failure domain"
  | "the readers"
  | "a host that does not read";

interface RoleFault {
  readonly role: Role;
  readonly fault: FaultName;
}

interface SpreadCase {
  readonly faults: readonly RoleFault[];
  /** How long before the version is written the faults begin. */
  readonly lead: number;
}

function listHosts(
  fleet: SpreadFleet,
  { role, domainsOf }: {
    readonly role: Role;
    readonly domainsOf: (host: HostName) => number;
  },
): readonly HostName[] {
  const readers = fleet.listReaders();
  switch (role) {
    case "the readers":
      return readers;
    case "one reader of each failure domain":
      return readers.filter((host, index) =>
        readers.findIndex((other) => domainsOf(other) === domainsOf(host)) ===
          index
      );
    case "a host that does not read":
      return fleet.hosts.filter((host) => !readers.includes(host)).slice(0, 1);
  }
}

const ROLES: readonly Role[] = [
  "one reader of each failure domain",
  "the readers",
  "a host that does not read",
];
/** A fault that has just begun, and one that has been there for a while. */
const LEADS_MS = [0, 1_600];

const SINGLE_CASES: readonly SpreadCase[] = ROLES.flatMap((role) =>
  FAULT_NAMES.flatMap((fault) =>
    LEADS_MS.map((lead) => ({ faults: [{ role, fault }], lead }))
  )
);
const PAIR_CASES: readonly SpreadCase[] = FAULT_NAMES.flatMap((first) =>
  FAULT_NAMES.map((second) => ({
    faults: [
      { role: "one reader of each failure domain", fault: first },
      { role: "a host that does not read", fault: second },
    ],
    lead: 0,
  }))
);

function describeCase({ faults, lead }: SpreadCase): string {
  const hosts = faults.map(({ role, fault }) => `${role}: ${fault}`);
  return [...hosts, `for ${lead} ms`].join(", ");
}

describe("a configuration is in force in time on every host without a fault", () => {
  for (const { hosts, failureDomains, bound } of DEPLOYMENTS) {
    const domainsOf = (host: HostName) =>
      Number(host.split("-")[1]) % failureDomains;
    const noFault: SpreadCase = { faults: [], lead: 0 };
    for (const spread of [noFault, ...SINGLE_CASES, ...PAIR_CASES]) {
      test(`${hosts} hosts, ${describeCase(spread)}`, async (context) => {
        const fleet = createSpreadFleet({ hosts, failureDomains });
        context.after(fleet.dispose);
        fleet.publish();
        await fleet.advance(START_MS);
        const excused = new Set<HostName>();
        const choices = spread.faults.map(({ role, fault }) => ({
          fault,
          hosts: listHosts(fleet, { role, domainsOf }),
        }));
        for (const { fault, hosts } of choices) {
          for (const host of hosts) {
            if (!BINDING_FAULTS.includes(fault)) {
              excused.add(host);
            }
            if (fault === "restarted") {
              fleet.restart(host);
            } else {
              fleet.setFault(host, FAULTS[fault]);
            }
          }
        }
        await fleet.advance(spread.lead);
        const publishedAt = fleet.now;
        const position = fleet.publish();
        await fleet.advance(1.5 * bound);
        const delays = fleet.hosts
          .filter((host) => !excused.has(host))
          .map((host) => ({
            host,
            delay: (fleet.appliedAt(host, position) ?? Infinity) - publishedAt,
          }));
        const latest = Math.max(...delays.map(({ delay }) => delay));
        context.diagnostic(`latest after ${Math.round(latest)} ms`);
        assert.ok(
          latest <= bound,
          JSON.stringify(delays.filter(({ delay }) => delay > bound)),
        );
      });
    }
  }
});
