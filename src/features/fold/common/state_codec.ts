/**
 * Encodes and decodes snapshots of the folded state. Equal states have the same encoding and hash.
 *
 * @module
 */

import * as valibot from "valibot";
import { hashText } from "../../../base/common/hashing.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import type { ObjectKey } from "../../../world/common/configuration.ts";
import type { FoldState } from "./fold.ts";
import {
  CONTRACT,
  decodeRecord,
  encodeRecord,
  EVACUATION,
  MOVE,
  ROUTE,
  SERVICE,
} from "./record_check.ts";

const OFFSET = valibot.pipe(valibot.number(), valibot.integer());
const STATE = valibot.strictObject({
  position: OFFSET,
  version: OFFSET,
  failureDomains: valibot.array(valibot.string()),
  services: valibot.array(SERVICE),
  routes: valibot.array(ROUTE),
  contracts: valibot.array(CONTRACT),
  moves: valibot.array(MOVE),
  objectVersions: valibot.array(valibot.tuple([valibot.string(), OFFSET])),
  forgottenVersion: OFFSET,
  verdicts: valibot.array(valibot.tuple([
    valibot.string(),
    valibot.strictObject({
      status: valibot.picklist(["accepted", "refused", "ignored"]),
      reason: valibot.string(),
      offset: OFFSET,
    }),
  ])),
  /** Absent without evacuations, so that releases without them read the snapshot and compute the same hash. */
  evacuations: valibot.optional(valibot.array(EVACUATION)),
});
const SNAPSHOT = valibot.strictObject({
  schema: valibot.literal(1),
  kind: valibot.literal("snapshot"),
  offset: OFFSET,
  hash: valibot.string(),
  state: STATE,
});

type StateData = valibot.InferOutput<typeof STATE>;

/** Encodes the snapshot record of a state; `offset` is the next entry to fold. */
export function encodeSnapshot(state: FoldState): Uint8Array {
  const data = serializeState(state);
  return encodeRecord({
    schema: 1,
    kind: "snapshot",
    offset: state.position,
    hash: hashData(data),
    state: data,
  });
}

/** Decodes a snapshot record; returns an error if the hash does not match the state. */
export function decodeSnapshot(bytes: Uint8Array): Result<FoldState, string> {
  const decoded = decodeRecord(bytes);
  if (decoded.err) {
    return decoded;
  }
  const checked = valibot.safeParse(SNAPSHOT, decoded.val);
  if (!checked.success) {
    const [issue] = checked.issues;
    return Err(`${valibot.getDotPath(issue) ?? "snapshot"}: ${issue.message}`);
  }
  const { hash, offset, state } = checked.output;
  if (hash !== hashData(state) || offset !== state.position) {
    return Err("hash: does not fit the state");
  }
  return Ok(deserializeState(state));
}

/** Computes a hash by which two daemons can compare their states. */
export function hashState(state: FoldState): string {
  return hashData(serializeState(state));
}

function hashData(data: StateData): string {
  const text = JSON.stringify(data);
  // Two 32-bit hashes, as the library has no longer hash.
  return [hashText(text), hashText(`${text}|`)]
    .map((part) => part.toString(16).padStart(8, "0")).join("");
}

function serializeState(
  { position, configuration, verdicts }: FoldState,
): StateData {
  const sorted = <T>(map: ReadonlyMap<string, T>) =>
    [...map].sort(([left], [right]) => left < right ? -1 : 1);
  const valuesOf = <T>(map: ReadonlyMap<string, T>) =>
    sorted(map).map(([, value]) => value);
  return {
    position,
    version: configuration.version,
    failureDomains: [...configuration.failureDomains].sort(),
    services: valuesOf(configuration.services),
    routes: valuesOf(configuration.routes),
    contracts: valuesOf(configuration.contracts).map((contract) => ({
      ...contract,
      routes: [...contract.routes],
    })),
    // Moves and verdicts keep their order, as the oldest are removed first.
    moves: [...configuration.moves.values()],
    objectVersions: sorted(configuration.objectVersions),
    forgottenVersion: configuration.forgottenVersion,
    verdicts: [...verdicts],
    ...configuration.evacuations.size > 0
      ? { evacuations: valuesOf(configuration.evacuations) }
      : {},
  };
}

function deserializeState(data: StateData): FoldState {
  return {
    position: data.position,
    configuration: {
      version: data.version,
      failureDomains: new Set(data.failureDomains),
      evacuations: new Map(
        (data.evacuations ?? []).map((item) => [item.failureDomain, item]),
      ),
      services: new Map(data.services.map((item) => [item.name, item])),
      routes: new Map(data.routes.map((item) => [item.name, item])),
      contracts: new Map(data.contracts.map((item) => [item.customer, item])),
      moves: new Map(data.moves.map((item) => [item.identity, item])),
      objectVersions: new Map(
        data.objectVersions as [ObjectKey, number][],
      ),
      forgottenVersion: data.forgottenVersion,
    },
    verdicts: new Map(data.verdicts),
  };
}
