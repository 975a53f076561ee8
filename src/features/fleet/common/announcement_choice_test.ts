import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  chooseAnnouncementTargets,
  type FleetHost,
} from "./announcement_choice.ts";

interface Case {
  readonly name: string;
  readonly domainSizes: readonly number[];
  readonly maximumTargets: number;
  /** How many daemons announce a version to each daemon at least, of its own domain and of all. */
  readonly minimumOwnSources: number;
  readonly minimumSources: number;
}

const CASES: readonly Case[] = [
  {
    name: "one host",
    domainSizes: [1],
    maximumTargets: 0,
    minimumOwnSources: 0,
    minimumSources: 0,
  },
  {
    name: "small fleet",
    domainSizes: [4, 3, 3],
    maximumTargets: 5,
    minimumOwnSources: 2,
    minimumSources: 3,
  },
  {
    name: "195 hosts",
    domainSizes: [31, 34, 34, 31, 32, 33],
    maximumTargets: 9,
    minimumOwnSources: 4,
    minimumSources: 7,
  },
  {
    name: "domains of very different sizes",
    domainSizes: [60, 5, 1],
    maximumTargets: 6,
    minimumOwnSources: 0,
    minimumSources: 4,
  },
  {
    name: "7,700 hosts",
    domainSizes: Array.from({ length: 24 }, (_, index) => 310 + index),
    maximumTargets: 27,
    minimumOwnSources: 4,
    minimumSources: 20,
  },
];

// Guards against messages that grow with the number of hosts, and against hosts that nobody announces a version to.
describe("the daemons to which a version is announced", () => {
  for (const fleet of CASES) {
    test(fleet.name, () => {
      const hosts: FleetHost[] = fleet.domainSizes.flatMap((size, domain) =>
        Array.from({ length: size }, (_, index) => ({
          host: `host-${domain}-${index}`,
          failureDomain: `domain-${domain}`,
        }))
      );
      // Rendezvous ranks of thousands of hosts take long, so a part of the senders stands for all in the last case.
      const senders = hosts.length > 1_000 ? hosts.slice(0, 310) : hosts;
      const sources = new Map(hosts.map(({ host }) => [host, 0]));
      const ownSources = new Map(sources);
      const domainOf = new Map(
        hosts.map(({ host, failureDomain }) => [host, failureDomain]),
      );
      for (const self of senders) {
        const targets = chooseAnnouncementTargets(
          self,
          hosts.filter((other) => other !== self),
        );
        assert.ok(targets.length <= fleet.maximumTargets);
        assert.equal(new Set(targets).size, targets.length);
        assert.ok(!targets.includes(self.host));
        for (const target of targets) {
          sources.set(target, sources.get(target)! + 1);
          if (domainOf.get(target) === self.failureDomain) {
            ownSources.set(target, ownSources.get(target)! + 1);
          }
        }
      }
      if (senders.length === hosts.length) {
        assert.ok(
          Math.min(...ownSources.values()) >= fleet.minimumOwnSources,
        );
        assert.ok(Math.min(...sources.values()) >= fleet.minimumSources);
      }
    });
  }
});
