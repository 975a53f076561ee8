/**
 * The cases of the measurement of moves: workloads, kinds of new version and faults.
 *
 * @module
 */

import type { Mesh } from "./memory_mesh.ts";
import type {
  CallEffect,
  MoveWorkload,
  VersionBehaviour,
} from "./move_model.ts";

/** The workloads of section 1.1 of the design. Rates and service times are specific to the model. */
export const MOVE_WORKLOADS: readonly MoveWorkload[] = [
  {
    name: "hollister",
    service: "booking",
    failureDomains: ["tacoma", "everett", "salem", "yakima"],
    latencyMilliseconds: 1.5,
    instances: 10,
    slots: 16,
    serviceMilliseconds: 120,
    routes: [
      { name: "availability", callFraction: 0.6, weight: 0.8 },
      { name: "reservation", callFraction: 0.3, weight: 1.2 },
      { name: "photo", callFraction: 0.1, weight: 2 },
    ],
  },
  {
    name: "mto-pamoja",
    service: "bib",
    failureDomains: ["sagana", "thika", "masinga"],
    latencyMilliseconds: 1,
    instances: 7,
    slots: 12,
    serviceMilliseconds: 80,
    routes: [
      { name: "heat", callFraction: 0.6, weight: 0.8 },
      { name: "issue", callFraction: 0.3, weight: 1.2 },
      { name: "bundle", callFraction: 0.1, weight: 2 },
    ],
  },
];

export interface VersionKind {
  readonly name: string;
  readonly isBad: boolean;
  readonly candidate: VersionBehaviour;
  readonly stable?: VersionBehaviour;
  /** The slowdown of the replaced version; 1 when absent. */
  readonly stableSlowdown?: number;
}

/** When the `-later` kinds become bad, as a fraction of the time to the deadline. */
const DEGRADATION_START = 0.45;
/** The load from which the `-under-load` kinds are bad. */
const DEGRADATION_LOAD = 0.4;
/** The number of slow first calls to an instance of `good-cold-start`. */
const COLD_CALLS = 60;

const behaveWell: VersionBehaviour = () => ({});

/** The kinds of new version. `-on-route` kinds are bad on the route with the fewest calls only. */
export const VERSION_KINDS: readonly VersionKind[] = [
  { name: "good", isBad: false, candidate: behaveWell },
  {
    name: "good-faster",
    isBad: false,
    candidate: () => ({ slowdown: 0.6 }),
  },
  {
    name: "good-as-slow",
    isBad: false,
    candidate: () => ({ slowdown: 3 }),
    stable: () => ({ slowdown: 3 }),
    stableSlowdown: 3,
  },
  {
    name: "good-as-failing",
    isBad: false,
    candidate: () => ({ failureRate: 0.05 }),
    stable: () => ({ failureRate: 0.05 }),
  },
  {
    name: "good-cold-start",
    isBad: false,
    candidate: ({ served }) => ({ slowdown: served < COLD_CALLS ? 4 : 1 }),
  },
  {
    name: "good-one-bad-instance",
    isBad: false,
    candidate: ({ isFirstCalled }) => ({
      failureRate: isFirstCalled ? 0.5 : 0,
    }),
  },
  {
    name: "good-one-slow-instance",
    isBad: false,
    candidate: ({ isFirstCalled }) => ({ slowdown: isFirstCalled ? 3 : 1 }),
  },
  {
    name: "good-shedding",
    isBad: false,
    candidate: ({ load }) => ({ shedRate: load >= 0.6 ? 0.3 : 0 }),
  },
  createBadKind("bad-fails", () => ({ failureRate: 0.2 })),
  createBadKind("bad-fails-always", () => ({ failureRate: 1 })),
  createBadKind("bad-slow", () => ({ slowdown: 2 })),
  createBadKind("bad-fails-later", ({ progress }) => ({
    failureRate: progress >= DEGRADATION_START ? 0.25 : 0,
  })),
  createBadKind("bad-slow-later", ({ progress }) => ({
    slowdown: progress >= DEGRADATION_START ? 2 : 1,
  })),
  createBadKind("bad-fails-under-load", ({ load }) => ({
    failureRate: load >= DEGRADATION_LOAD ? 0.4 : 0,
  })),
  createBadKind("bad-slow-under-load", ({ load }) => ({
    slowdown: load >= DEGRADATION_LOAD ? 2.5 : 1,
  })),
  createBadKind("bad-fails-on-route", ({ route }) => ({
    failureRate: isLowTrafficRoute(route) ? 0.4 : 0,
  })),
  createBadKind("bad-slow-on-route", ({ route }) => ({
    slowdown: isLowTrafficRoute(route) ? 2.5 : 1,
  })),
];

function createBadKind(name: string, candidate: VersionBehaviour): VersionKind {
  return { name, isBad: true, candidate };
}

function isLowTrafficRoute(route: string): boolean {
  return route === "photo" || route === "bundle";
}

export interface MoveFault {
  readonly name: string;
  /** Changes to the mesh, each at a fraction of the time to the deadline. */
  readonly events: readonly {
    readonly at: number;
    readonly act: (mesh: Mesh) => void;
  }[];
  /** The effect of the first daemon on its calls, independent of the version. */
  readonly brokenDaemon?: CallEffect;
}

export const MOVE_FAULTS: readonly MoveFault[] = [
  { name: "none", events: [] },
  {
    name: "platform-down",
    events: [
      { at: 0.01, act: (mesh) => mesh.setPlatformDown(true) },
      { at: 0.7, act: (mesh) => mesh.setPlatformDown(false) },
    ],
  },
  {
    name: "partition",
    events: [
      { at: 0.05, act: (mesh) => mesh.cutOff(firstDomain(mesh)) },
      { at: 0.6, act: (mesh) => mesh.rejoin(firstDomain(mesh)) },
    ],
  },
  {
    name: "half-restart",
    events: [{ at: 0.5, act: restartHalf }],
  },
  {
    name: "failing-daemon",
    events: [],
    brokenDaemon: { failureRate: 0.3 },
  },
  { name: "slow-daemon", events: [], brokenDaemon: { slowdown: 4 } },
  {
    name: "platform-down-late",
    events: [
      { at: 0.85, act: (mesh) => mesh.setPlatformDown(true) },
      { at: 0.97, act: (mesh) => mesh.setPlatformDown(false) },
    ],
  },
  {
    name: "island",
    events: [{ at: 0.3, act: (mesh) => mesh.cutOff(firstDomain(mesh)) }],
  },
  {
    name: "restart-in-partition",
    events: [
      { at: 0.4, act: (mesh) => mesh.cutOff(firstDomain(mesh)) },
      { at: 0.45, act: restartHalf },
      { at: 0.7, act: (mesh) => mesh.rejoin(firstDomain(mesh)) },
    ],
  },
];

function restartHalf(mesh: Mesh): void {
  mesh.daemons.filter((_, index) => index % 2 === 0)
    .forEach(({ self }) => mesh.restart(self.process.host));
}

function firstDomain(mesh: Mesh): string {
  // Sorted, because a restarted daemon moves to the end of the list.
  return mesh.daemons.map(({ self }) => self.failureDomain).sort()[0];
}
