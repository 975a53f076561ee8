/**
 * The measurements by name. A new measurement is added to {@linkcode MEASUREMENTS}.
 *
 * @module
 */

import { measureCapacity } from "./capacity_measure.ts";
import {
  measureAdmissionTable,
  measureConvergenceTable,
  measureLatencyTable,
  measureMembershipTable,
  measureRoutingTable,
} from "./measurement_adapters.ts";
import { measureMoves } from "../../features/move/common/move_table.ts";

export interface MeasurementOptions {
  /** Number of runs of each case, each with its own seed. */
  readonly seeds: number;
  readonly firstSeed: number;
  /** Only cases whose name contains this text. */
  readonly filter: string;
}

export type MeasurementRow = Readonly<Record<string, string | number>>;

export interface MeasurementTable {
  readonly title: string;
  readonly rows: readonly MeasurementRow[];
}

export type Measurement = (
  options: MeasurementOptions,
) => Promise<readonly MeasurementTable[]>;

export const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  admission: measureAdmissionTable,
  capacity: measureCapacity,
  convergence: measureConvergenceTable,
  latency: measureLatencyTable,
  membership: measureMembershipTable,
  moves: measureMoves,
  routing: measureRoutingTable,
};
