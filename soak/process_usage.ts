/**
 * Reads what the kernel reports of a process.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

const NANOSECONDS_PER_MS = 1_000_000;

/** Returns 0 when the kernel does not report it or the process has exited. */
export function readProcessorWaitTime(processId: number): Milliseconds {
  try {
    const [, waited] = readFileSync(`/proc/${processId}/schedstat`, "utf8")
      .split(" ");
    return Number(waited) / NANOSECONDS_PER_MS;
  } catch {
    return 0;
  }
}

/** Returns 0 when the kernel does not report it or the process has exited. */
export function readPeakMemory(processId: number): number {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const kilobytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0;
    return Math.round(Number(kilobytes) / 1_024);
  } catch {
    return 0;
  }
}
