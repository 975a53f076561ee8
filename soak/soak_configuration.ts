/**
 * The configurations that a soak publishes.
 *
 * @module
 */

import {
  configurationDocument,
  type RouteOptions,
} from "../platform/stand_in/mesh_fixture.ts";
import { SOAK_ACCOUNTS } from "./soak_accounts.ts";
import {
  serviceOfNumberedRoute,
  SLOW_ROUTE_TIMEOUT_MS,
} from "./soak_callers.ts";
import type { SoakParts } from "./soak_parts.ts";

/** How long an instance is cold after its start, and what it then tolerates. */
export const COLD_START = { cold_s: 2, cold_per_s: 10 };

/** Versions have more digits than a floating-point number holds. */
const FIRST_VERSION = 20_261_207_000_000_000n;

/** Each configuration adds a numbered route and keeps that of the previous one. */
export function createSoakConfiguration(
  number: number,
  { hasAccounts, hasColdInstances }: SoakParts,
): unknown {
  const numbered = (each: number): RouteOptions => ({
    prefix: `/epoch-${each}/`,
    service: serviceOfNumberedRoute(each),
  });
  const document = configurationDocument(FIRST_VERSION + BigInt(number), [
    { prefix: "/lookup/", service: "booking" },
    { prefix: "/reserve/", service: "booking", kind: "unsafe", rank: 0 },
    { prefix: "/photo/", service: "dispatch", kind: "upload", rank: 0 },
    {
      prefix: "/slow/",
      service: "booking",
      kind: "unsafe",
      timeoutSeconds: SLOW_ROUTE_TIMEOUT_MS / 1_000,
    },
    { prefix: "/peek/", service: "dispatch" },
    numbered(number),
    ...(number > 1 ? [numbered(number - 1)] : []),
  ], hasColdInstances ? COLD_START : {}) as object;
  return hasAccounts ? { ...document, tenants: SOAK_ACCOUNTS } : document;
}
