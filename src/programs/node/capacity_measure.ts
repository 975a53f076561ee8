/**
 * Measures how state size and processor time grow with the fleet, for the capacity page. Each row
 * repeats one operation in this process; heap sizes need `node --expose-gc`.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { createRandomSource } from "../../base/common/random_source.ts";
import { VirtualClock } from "../../base/common/clock.ts";
import { encodeMessage } from "../../base/common/message_codec.ts";
import { createClaimTable } from "../../features/claim/common/claim_table.ts";
import {
  foldEntries,
  type FoldState,
  INITIAL_FOLD_STATE,
} from "../../features/fold/common/fold.ts";
import { encodeRecord } from "../../features/fold/common/record_check.ts";
import { encodeSnapshot } from "../../features/fold/common/state_codec.ts";
import type { Member } from "../../features/membership/common/directory.ts";
import {
  encodeMember,
  MEMBER_RECORD,
} from "../../features/membership/common/member_record.ts";
import { createRecordStore } from "../../features/membership/common/record_store.ts";
import { createInstanceRouter } from "../../features/routing/common/router.ts";
import { buildTable } from "../../features/table/common/build_table.ts";
import {
  type LogRecord,
  RECORD_SCHEMA_VERSION,
} from "../../world/common/log_record.ts";
import {
  formatInstanceIdentity,
  type UpstreamInstance,
} from "../../world/common/upstream_instance.ts";
import type { MeasurementTable } from "./measurements.ts";

const MEMBER_COUNTS = [10, 100, 320, 1_000, 7_700];
const SERVICE_COUNTS = [10, 100, 620, 2_000];
const INSTANCE_COUNTS = [4, 12, 40, 320];
const CLAIM_COUNTS = [100, 1_000, 10_000, 50_000];
const ROUTES_PER_SERVICE = 3;
const REPEATS = 20_000;
const MICROSECONDS_PER_MS = 1_000;

/** Runs all capacity measurements; the arguments of `measure` do not apply. */
export function measureCapacity(): Promise<readonly MeasurementTable[]> {
  return Promise.resolve([
    { title: "Member records", rows: MEMBER_COUNTS.map(measureMembers) },
    {
      title:
        `Configuration (${ROUTES_PER_SERVICE} routes and one contract per service)`,
      rows: SERVICE_COUNTS.map(measureConfiguration),
    },
    {
      title: "Choice of an instance of one service",
      rows: INSTANCE_COUNTS.map(measureInstanceChoice),
    },
    { title: "Claims held by an owner", rows: CLAIM_COUNTS.map(measureClaims) },
  ]);
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Measures the heap retained by a value, in bytes; 0 without `--expose-gc`. */
function measureHeap<T>(create: () => T): { value: T; bytes: number } {
  const before = readHeap();
  const value = create();
  const bytes = globalThis.gc === undefined ? 0 : readHeap() - before;
  return { value, bytes };
}

/** Measures the mean time of one call of `action`, in microseconds. */
function measureTime(repeats: number, action: (index: number) => void): number {
  for (let index = 0; index < repeats / 10; index += 1) {
    action(index);
  }
  const startedAt = performance.now();
  for (let index = 0; index < repeats; index += 1) {
    action(index);
  }
  return (performance.now() - startedAt) / repeats * MICROSECONDS_PER_MS;
}

function round(value: number): number {
  return Number(value.toPrecision(3));
}

function createMember(index: number): Member {
  const address = `10.${index >> 16 & 255}.${index >> 8 & 255}.${index & 255}`;
  return {
    process: { host: `host-${index}`, startedAt: 1_700_000_000_000 + index },
    failureDomain: "domain-1",
    addresses: {
      address,
      proxyPort: 7_100,
      administrationPort: 7_101,
      linkPort: 7_102,
    },
    incarnation: 0,
    state: "alive",
    appliedVersion: 1_000,
    upstreams: [{
      service: `service-${index % 620}`,
      version: "1.0",
      address,
      port: 8_080,
      slots: 16,
      state: "ready",
    }],
  };
}

function measureMembers(count: number) {
  const { value: store, bytes } = measureHeap(() => {
    const records = createRecordStore<Member>(MEMBER_RECORD);
    for (let index = 0; index < count; index += 1) {
      records.merge(createMember(index));
    }
    return records;
  });
  const encoded = encodeMessage(encodeMember(createMember(count - 1))).length;
  const mergeMicroseconds = measureTime(2_000, (index) => {
    const member = store.get(`host-${index % count}`) ?? createMember(0);
    store.merge({ ...member, incarnation: member.incarnation + 1 });
  });
  return {
    members: count,
    heapKilobytes: round(bytes / 1_000),
    heapBytesPerMember: round(bytes / count),
    messageBytesPerMember: encoded,
    mergeMicroseconds: round(mergeMicroseconds),
  };
}

function createServiceRecord(index: number, baseVersion: number): LogRecord {
  const service = `service-${index}`;
  const routes = Array.from({ length: ROUTES_PER_SERVICE }, (_, route) => ({
    name: `${service}-route-${route}`,
    service,
    method: "GET",
    pathPrefix: `/v1/${service}/${route}`,
    callClass: "read" as const,
    stalenessMilliseconds: 1_000,
    deadlineMilliseconds: 2_000,
  }));
  return {
    schema: RECORD_SCHEMA_VERSION,
    kind: "change",
    identity: `change-${index}-${baseVersion}`,
    baseVersion,
    author: "measurement",
    upsert: {
      failureDomains: ["domain-1"],
      services: [{ name: service, version: "1.0" }],
      routes,
      contracts: [{
        customer: `customer-${index}`,
        routes: routes.map(({ name }) => name),
        limits: { requestsPerSecond: 100, concurrency: 50, retryShare: 0.1 },
      }],
    },
    remove: {},
  };
}

function foldServices(count: number): FoldState {
  let state = INITIAL_FOLD_STATE;
  for (let index = 0; index < count; index += 1) {
    state = foldService(state, index);
  }
  return state;
}

function foldService(state: FoldState, index: number): FoldState {
  const record = createServiceRecord(index, state.configuration.version);
  return foldEntries(state, [{
    offset: state.position,
    appendedAt: 1_700_000_000_000,
    record: encodeRecord(record),
  }]).state;
}

function measureConfiguration(count: number) {
  const { value: state, bytes } = measureHeap(() => foldServices(count));
  let latest = state;
  const foldMicroseconds = measureTime(200, (index) => {
    latest = foldService(latest, index % count);
  });
  const { value: built, bytes: tableBytes } = measureHeap(() =>
    buildTable(state.configuration).unwrap()
  );
  const buildMicroseconds = measureTime(
    20,
    () => buildTable(state.configuration).unwrap(),
  );
  const matchMicroseconds = measureTime(REPEATS, (index) => {
    const service = index % count;
    built.table.match({
      customer: `customer-${service}`,
      method: "GET",
      path: `/v1/service-${service}/1/x`,
    });
  });
  return {
    services: count,
    snapshotKilobytes: round(encodeSnapshot(state).length / 1_000),
    stateHeapKilobytes: round(bytes / 1_000),
    tableHeapKilobytes: round(tableBytes / 1_000),
    foldMicroseconds: round(foldMicroseconds),
    buildMicroseconds: round(buildMicroseconds),
    matchMicroseconds: round(matchMicroseconds),
  };
}

function createInstance(index: number): UpstreamInstance {
  const announcement = createMember(index).upstreams[0];
  const host = `host-${index}`;
  return {
    ...announcement,
    service: "service-1",
    identity: formatInstanceIdentity(host, announcement),
    host,
    failureDomain: "domain-1",
  };
}

function measureInstanceChoice(count: number) {
  const { process, failureDomain, addresses } = createMember(0);
  const router = createInstanceRouter({
    directory: {
      self: { process, failureDomain, addresses },
      instances: Array.from(
        { length: count },
        (_, index) => createInstance(index),
      ),
      onChanged: () => ({ dispose() {} }),
    },
    shift: {
      splitOf: () => ({
        stableVersion: "1.0",
        candidateVersion: undefined,
        candidateShare: 0,
        candidateInstances: Infinity,
      }),
    },
    clock: new VirtualClock(1_700_000_000_000),
    random: createRandomSource(1),
  });
  const noExclusions = new Set<string>();
  const assignMicroseconds = measureTime(REPEATS, (index) => {
    const assignment = router.assign({
      service: "service-1",
      route: "route-1",
      callIdentity: `call-${index}`,
      exclude: noExclusions,
    });
    if (typeof assignment === "string") {
      throw new Error(`The router refused a call: ${assignment}`);
    }
    assignment.finish("success", 5);
  });
  router.dispose();
  return {
    instances: count,
    assignMicroseconds: round(assignMicroseconds),
  };
}

function measureClaims(count: number) {
  const { value: table, bytes } = measureHeap(() => {
    const claims = createClaimTable();
    for (let index = 0; index < count; index += 1) {
      claims.record(`customer|domain-1.key-${index}`, {
        token: `token-${index}`,
        createdAt: 1_700_000_000_000,
      });
    }
    return claims;
  });
  const lookMicroseconds = measureTime(REPEATS, (index) => {
    table.lookUp(`customer|domain-1.key-${index % count}`, "other");
  });
  return {
    claims: count,
    heapKilobytes: round(bytes / 1_000),
    heapBytesPerClaim: round(bytes / count),
    lookMicroseconds: round(lookMicroseconds),
  };
}
