/**
 * Callers of a soak: steady calls to each daemon over many kept connections, most of which are idle
 * for seconds between two calls and are used until the process is gone.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { FIXTURE_HOST } from "../platform/stand_in/mesh_fixture.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import type { RandomSource } from "../src/base/common/random_source.ts";
import { type CallerConnection, openConnection } from "./caller_connection.ts";
import type { CallKind, SeenCall } from "./observations.ts";
import type { SoakHost } from "./soak_host.ts";

const SHORTEST_DEADLINE_MS: Milliseconds = 800;
const LONGEST_DEADLINE_MS: Milliseconds = 2_500;
/** A caller that got no answer by then leaves; the timeouts of the routes are far shorter. */
const LEAVE_AFTER_MS: Milliseconds = 6_000;
const UPLOAD_BYTES = 60_000;
/** Many connections are then idle from the start of a stop to its last second, which is the sixth. */
const MEAN_IDLE_MS: Milliseconds = 6_000;
/** Callers use connections that were idle for up to four fifths of the limit, which is 15 s. */
const LONGEST_IDLE_MS: Milliseconds = 12_000;
/** Part of the calls that go to a route of a recent configuration. */
const NUMBERED_PART = 0.15;
/** Part of the calls after which the caller closes its connection. */
const CLOSED_PART = 0.2;
/** Part of the reads that are followed by others before they are answered. */
const PIPELINED_PART = 0.15;
const PIPELINED_CALLS = 3;

const ROUTE_TIMEOUT_MS: Milliseconds = 1_000;
/** The deadline of a call on this route is as long as the second half of a stop. */
export const SLOW_ROUTE_TIMEOUT_MS: Milliseconds = 3_000;
const NESTED_PATH = "/peek/unit";

export interface CallersOptions {
  readonly hosts: readonly SoakHost[];
  readonly random: RandomSource;
  readonly callsPerSecond: number;
  readonly now: () => Milliseconds;
  /** The newest configuration that the store accepted. */
  readonly newestConfiguration: () => number;
  readonly observerDelay: () => Milliseconds;
  readonly onCall: (call: SeenCall) => void;
}

export interface NestedCall {
  readonly parent: string;
  readonly deadline: Milliseconds;
}

export interface Callers {
  /** A call of the instance beside a daemon; resolves with its status. */
  callNested(host: SoakHost, call: NestedCall): Promise<number>;
  /** Resolves when no call is under way. */
  stop(): Promise<void>;
}

interface PlannedCall {
  readonly identity: string;
  readonly kind: CallKind;
  readonly path: string;
  readonly deadline: Milliseconds;
  readonly bytes?: number;
  readonly routeTimeout?: Milliseconds;
  readonly routeNumber?: number;
}

const ROUTES: readonly (
  & Pick<PlannedCall, "kind" | "path" | "bytes" | "routeTimeout">
  & { readonly part: number }
)[] = [
  { kind: "safe", part: 0.54, path: "/lookup/unit" },
  { kind: "unsafe", part: 0.25, path: "/reserve/unit", bytes: 1_200 },
  { kind: "upload", part: 0.15, path: "/photo/unit", bytes: UPLOAD_BYTES },
  {
    kind: "unsafe",
    part: 0.06,
    path: "/slow/unit",
    bytes: 100,
    routeTimeout: SLOW_ROUTE_TIMEOUT_MS,
  },
];

export function startCallers(options: CallersOptions): Callers {
  const { hosts, random, now } = options;
  const callersPerHost = Math.ceil(
    options.callsPerSecond * MEAN_IDLE_MS / 1_000,
  );
  const stopping = new AbortController();
  setMaxListeners(0, stopping.signal);
  const connections = new Set<CallerConnection>();
  const nestedConnections = new Map(
    hosts.map(({ name }) => [name, [] as CallerConnection[]]),
  );
  let sent = 0;
  let open = 0;

  function connect(host: SoakHost): CallerConnection {
    const connection = openConnection(host.calls, now);
    connections.add(connection);
    return connection;
  }

  function discard(connection: CallerConnection): void {
    connection.close();
    connections.delete(connection);
  }

  function drawRoute(): Omit<PlannedCall, "identity" | "deadline"> {
    if (random.nextFraction() < NUMBERED_PART) {
      const routeNumber = options.newestConfiguration();
      return { kind: "safe", path: `/epoch-${routeNumber}/unit`, routeNumber };
    }
    let rest = random.nextFraction();
    return ROUTES.find(({ part }) => (rest -= part) < 0) ?? ROUTES[0];
  }

  function drawCall(): PlannedCall {
    sent += 1;
    const route = drawRoute();
    return {
      ...route,
      identity: sent.toString(16).padStart(16, "0"),
      deadline: route.routeTimeout ?? Math.round(
        SHORTEST_DEADLINE_MS +
          random.nextFraction() * (LONGEST_DEADLINE_MS - SHORTEST_DEADLINE_MS),
      ),
    };
  }

  async function call(
    host: SoakHost,
    connection: CallerConnection,
    planned: PlannedCall,
  ): Promise<number> {
    const { identity, kind, path, deadline } = planned;
    open += 1;
    const sentAt = now();
    const { processNumber } = host;
    const leaving = setTimeout(connection.close, LEAVE_AFTER_MS);
    const { body, ...answer } = await connection.send(formatRequest(planned));
    clearTimeout(leaving);
    open -= 1;
    options.onCall({
      ...answer,
      identity,
      kind,
      host: host.name,
      processNumber,
      routeNumber: planned.routeNumber,
      routeTimeout: planned.routeTimeout ?? ROUTE_TIMEOUT_MS,
      deadline,
      sentAt,
      endedAt: now(),
      isOwnAnswer: body.startsWith(`${identity} ${path} `) &&
        body.length === identity.length + path.length + 402,
      observerDelay: options.observerDelay(),
    });
    return answer.status;
  }

  /** One caller, with one connection at a time. */
  async function runCaller(host: SoakHost): Promise<void> {
    let connection: CallerConnection | undefined;
    while (!stopping.signal.aborted) {
      const pause = -Math.log(1 - random.nextFraction()) * MEAN_IDLE_MS;
      await sleep(Math.min(pause, LONGEST_IDLE_MS), undefined, {
        signal: stopping.signal,
      });
      if (connection?.isIdle !== true) {
        connection && discard(connection);
        connection = connect(host);
      }
      const used = connection;
      const first = drawCall();
      const isPipelined = first.kind === "safe" &&
        random.nextFraction() < PIPELINED_PART;
      const behind = isPipelined
        ? Array.from({ length: PIPELINED_CALLS }, drawCall)
          .filter(({ kind }) => kind === "safe")
        : [];
      await Promise.all(
        [first, ...behind].map((each) => call(host, used, each)),
      );
      if (random.nextFraction() < CLOSED_PART) {
        used.close();
      }
    }
  }

  for (const host of hosts) {
    for (let each = 0; each < callersPerHost; each += 1) {
      runCaller(host).catch((error) => {
        if (!stopping.signal.aborted) {
          throw error;
        }
      });
    }
  }
  return {
    async callNested(host, { parent, deadline }) {
      const kept = nestedConnections.get(host.name)!;
      let connection = kept.pop();
      while (connection !== undefined && !connection.isIdle) {
        discard(connection);
        connection = kept.pop();
      }
      connection ??= connect(host);
      const status = await call(host, connection, {
        identity: `${parent}-${sent += 1}`,
        kind: "safe",
        path: NESTED_PATH,
        deadline,
      });
      kept.push(connection);
      return status;
    },
    async stop() {
      stopping.abort();
      while (open > 0) {
        await sleep(20);
      }
      connections.forEach((connection) => connection.close());
    },
  };
}

function formatRequest(
  { identity, path, deadline, bytes }: PlannedCall,
): Buffer {
  const head = [
    `${bytes === undefined ? "GET" : "POST"} ${path} HTTP/1.1`,
    `host: ${FIXTURE_HOST}`,
    `x-attempt-id: ${identity}`,
    `x-deadline-ms: ${deadline}`,
    ...(bytes === undefined ? [] : [`content-length: ${bytes}`]),
  ].join("\r\n");
  return Buffer.concat([
    Buffer.from(`${head}\r\n\r\n`),
    Buffer.alloc(bytes ?? 0, 97),
  ]);
}
