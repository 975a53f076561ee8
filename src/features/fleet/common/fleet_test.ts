import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { VirtualClock } from "../../../base/common/clock.ts";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  createMemoryTransport,
  type MemoryNetwork,
} from "../../link/common/memory_network.ts";
import type { LinkTarget } from "../../link/common/peer_network.ts";
import { createFleet, type Fleet } from "./fleet.ts";
import type { HostStatus } from "./fleet_messages.ts";

const FAILURE_DOMAINS = 6;
const TRANSIT_MS = 1;

const STATUS: HostStatus = {
  instance: {
    identity: "i-1",
    service: "booking",
    version: "v1",
    isServing: true,
    coldForMilliseconds: 0,
  },
  load: {
    running: 1,
    waiting: 0,
    limit: 15,
    relativeServiceTime: 1,
    failureRate: 0,
  },
  departed: [],
  position: 4,
  isAvailable: true,
  isStopping: false,
  rollouts: [],
  evidence: [],
};

interface Host {
  readonly target: LinkTarget;
  readonly network: MemoryNetwork;
  readonly fleet: Fleet;
}

function createHosts(
  count: number,
  options: {
    readonly status?: HostStatus;
    readonly evidenceRecipients?: readonly HostName[];
  } = {},
): { readonly clock: VirtualClock; readonly hosts: readonly Host[] } {
  const clock = new VirtualClock();
  const transport = createMemoryTransport({
    clock,
    latencyMilliseconds: TRANSIT_MS,
    measureBytes: (message) => encodeMessage(message).length,
  });
  const hosts = Array.from({ length: count }, (_, index) => {
    const host = `sidecar-domain-${index % FAILURE_DOMAINS}-${index}`;
    const failureDomain = `domain-${index % FAILURE_DOMAINS}`;
    const target = { host, address: `10.0.0.${index}`, port: 7_380 };
    const network = transport.createNetwork({
      process: { host, startedAt: 1 },
      failureDomain,
    });
    const fleet = createFleet({
      self: target,
      failureDomain,
      clock,
      log: SILENT_LOG,
      network,
      describeSelf: () => options.status ?? STATUS,
      evidenceRecipients: () =>
        (options.evidenceRecipients ?? []).filter((each) => each !== host),
    });
    return { target, network, fleet };
  });
  return { clock, hosts };
}

function listHosts(hosts: readonly Host[]): void {
  const targets = hosts.map(({ target }) => target);
  for (const { fleet } of hosts) {
    fleet.addListedHosts(targets);
  }
}

function countTraffic(
  hosts: readonly Host[],
): { readonly messages: number; readonly bytes: number } {
  const sum = (select: (host: Host) => number) =>
    hosts.reduce((total, host) => total + select(host), 0);
  return {
    messages: sum(({ network }) => network.traffic.sentMessages),
    bytes: sum(({ network }) => network.traffic.sentBytes),
  };
}

// Guards against links whose cost grows with the fleet, so that a start of all costs the cube of the number of hosts.
describe("the first messages over a link do not grow with the number of hosts", () => {
  /** The address of the own host, its status, and what the other has to know of its own instances. */
  const MAXIMUM_BYTES = 400;
  for (const count of [12, 60, 200]) {
    test(`${count} hosts`, (context) => {
      const { clock, hosts } = createHosts(count);
      listHosts(hosts);
      clock.advance(100);
      const bytes = countTraffic(hosts).bytes / (count * (count - 1));
      context.diagnostic(`${Math.round(bytes)} bytes a link and direction`);
      assert.ok(bytes <= MAXIMUM_BYTES, String(bytes));
      for (const { fleet } of hosts) {
        assert.equal(fleet.members.length, count - 1);
      }
    });
  }
});

// Guards against a daemon that starts while the store is away and knows only those that connect to it.
describe("a daemon that has not read the hosts from the store links to all", () => {
  const KNOWN_HOSTS = 200;
  const cases = [
    { name: "if the first peer that connects knows them", strangers: 0 },
    { name: "if the first two peers know no other host", strangers: 2 },
  ];
  for (const { name, strangers } of cases) {
    test(name, () => {
      const { clock, hosts } = createHosts(1 + strangers + KNOWN_HOSTS);
      const [joining, ...others] = hosts;
      const known = others.slice(strangers);
      listHosts(known);
      clock.advance(10);
      for (const peer of others.slice(0, strangers + 1)) {
        peer.fleet.addListedHosts([joining.target]);
        clock.advance(10);
      }
      assert.equal(joining.fleet.members.length, others.length);
    });
  }
});

// Guards against loads of outcomes that count as old as the status before them.
test("the load of a member is as old as the status or outcome that it came with", () => {
  const { clock, hosts } = createHosts(2);
  listHosts(hosts);
  clock.advance(100);
  const { fleet } = hosts[0];
  const [{ host, loadReceivedAt }] = fleet.members;
  assert.ok(loadReceivedAt > 0 && loadReceivedAt < 100);
  fleet.updateLoad(host, { ...STATUS.load, running: 2 });
  assert.equal(fleet.members[0].load.running, 2);
  assert.equal(fleet.members[0].loadReceivedAt, clock.now());
});

// Guards against evidence that each daemon sends to all others for as long as a rollout lasts.
describe("the evidence of a rollout is sent to its evaluators only", () => {
  const DURATION_MS = 6_000;
  const EVALUATORS = 2 * FAILURE_DOMAINS;
  for (const count of [60, 200]) {
    test(`${count} hosts`, (context) => {
      const measure = (evidence: HostStatus["evidence"]) => {
        const names = createHosts(EVALUATORS).hosts.map(({ target }) =>
          target.host
        );
        const { clock, hosts } = createHosts(count, {
          status: { ...STATUS, evidence },
          evidenceRecipients: names,
        });
        listHosts(hosts);
        clock.advance(100);
        const before = countTraffic(hosts).messages;
        clock.advance(DURATION_MS);
        return (countTraffic(hosts).messages - before) / count;
      };
      const messages = measure([{
        route: "lookup",
        calls: 10,
        failures: 1,
        warmMilliseconds: 900,
        warmCalls: 10,
      }]) - measure([]);
      const perEvaluator = messages / EVALUATORS;
      context.diagnostic(`${perEvaluator.toFixed(1)} messages an evaluator`);
      // Often enough for an evaluator to notice a bad version within about a second.
      assert.ok(perEvaluator >= DURATION_MS / 1_500, String(perEvaluator));
      // An evaluator that gets more than 170 messages a second from all hosts together cannot keep up.
      assert.ok(
        perEvaluator * count / (DURATION_MS / 1_000) <= 170,
        String(perEvaluator),
      );
    });
  }
});
