/**
 * Runs the measurements of the features and formats the results as table rows.
 *
 * @module
 */

import { encodeMessage } from "../../base/common/message_codec.ts";
import { measureAdmission } from "../../features/admission/common/admission_measure.ts";
import { measureLatency } from "../../features/attempt/node/latency_measure.ts";
import {
  CONVERGENCE_SCENARIOS,
  measureConvergence,
} from "../../features/distribution/common/convergence_measure.ts";
import { measureMembership } from "../../features/membership/common/membership_measure.ts";
import {
  DEFAULT_MEASURE_OPTIONS,
  measureRouting,
} from "../../features/routing/common/routing_measure.ts";
import type { Measurement, MeasurementOptions } from "./measurements.ts";

/** The fleet sizes of the two workloads. */
const FLEETS = [
  { workload: "hollister", domains: 4, daemonsPerDomain: 4 },
  { workload: "mto", domains: 3, daemonsPerDomain: 4 },
];
const MEMBER_COUNTS = [10, 100, 320];
const CUSTOMER_COUNTS = [1, 30, 300];

function listSeeds({ seeds, firstSeed }: MeasurementOptions): number[] {
  return Array.from({ length: seeds }, (_, index) => firstSeed + index);
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}

/** Measures convergence time and control bytes for the fleet of each workload under faults. */
export const measureConvergenceTable: Measurement = async (options) => {
  const rows = [];
  for (const { workload, domains, daemonsPerDomain } of FLEETS) {
    for (const scenario of CONVERGENCE_SCENARIOS) {
      if (!`${workload} ${scenario}`.includes(options.filter)) {
        continue;
      }
      const figures = await measureConvergence({
        scenario,
        domains,
        daemonsPerDomain,
        seeds: listSeeds(options),
      });
      rows.push({
        workload,
        scenario,
        p50Ms: round(figures.p50Milliseconds),
        p99Ms: round(figures.p99Milliseconds),
        maximumMs: round(figures.maximumMilliseconds),
        changes: figures.changes,
        unfinished: figures.unfinished,
        bytesPerSecond: round(figures.controlBytesPerSecond),
        reverts: figures.reverts,
      });
    }
  }
  return [{ title: "Convergence of configuration", rows }];
};

/** Measures times and control bytes of membership in one failure domain. */
export const measureMembershipTable: Measurement = async (options) => {
  const rows = [];
  for (const members of MEMBER_COUNTS) {
    for (const seed of listSeeds(options)) {
      const measured = await measureMembership({
        members,
        seed,
        measure: (message) => encodeMessage(message).length,
      });
      rows.push({
        members,
        seed,
        steadyBytesPerSecond: round(measured.steadyBytesPerSecond.mean),
        highestBytesPerSecond: round(measured.steadyBytesPerSecond.highest),
        newInstanceMs: measured.newInstanceMilliseconds ?? "none",
        drainMs: measured.drainMilliseconds ?? "none",
        expiryMs: measured.expiryMilliseconds ?? "none",
        deathMs: measured.deathMilliseconds ?? "none",
        restartMs: measured.restartMilliseconds ?? "none",
        restartBytesPerSecond: round(measured.restartBytesPerSecond.mean),
      });
    }
  }
  return [{ title: "Membership in one failure domain", rows }];
};

/** Measures the choice of instances with one slow, one failing and one cold instance. */
export const measureRoutingTable: Measurement = (options) => {
  const rows = listSeeds(options).map((seed) => {
    const measured = measureRouting({ ...DEFAULT_MEASURE_OPTIONS, seed });
    return {
      seed,
      calls: measured.calls,
      successShare: measured.successShare,
      shedAttempts: measured.shedAttempts,
      refusals: measured.refusals,
      loadSpread: round(measured.loadSpread),
      meanMs: round(measured.meanMilliseconds),
    };
  });
  return Promise.resolve([{ title: "Routing", rows }]);
};

/** Measures the latency that the proxy adds on loopback. */
export const measureLatencyTable: Measurement = async () => {
  const { direct, proxied, added } = await measureLatency();
  const rows = Object.entries({ direct, proxied, added })
    .map(([path, { p50, p99 }]) => ({
      path,
      p50Ms: round(p50),
      p99Ms: round(p99),
    }));
  return [{ title: "Latency of a call on loopback", rows }];
};

/** Measures control bytes and refusals of admission in one failure domain; uses no random numbers. */
export const measureAdmissionTable: Measurement = async ({ filter }) => {
  const rows = [];
  for (const daemons of MEMBER_COUNTS) {
    for (const customers of CUSTOMER_COUNTS) {
      if (!`${daemons} daemons ${customers} customers`.includes(filter)) {
        continue;
      }
      const measured = await measureAdmission({
        daemons,
        customers,
        measure: (message) => encodeMessage(message).length,
      });
      rows.push({
        daemons,
        customers,
        meanBytesPerSecond: round(measured.meanBytesPerSecond),
        highestBytesPerSecond: round(measured.highestBytesPerSecond),
        requestsPerSecond: round(measured.requestsPerSecond),
        holders: round(measured.coordinators),
        steadyRefused: round(measured.steadyRefusedShare),
        firstRefused: round(measured.firstRefusedShare),
        newDemandRefused: round(measured.newDemandRefusedShare),
      });
    }
  }
  return [{ title: "Admission in one failure domain", rows }];
};
