/**
 * Callers of a soak: a constant rate of calls to each daemon over many persistent connections, most
 * of which are idle for seconds between two calls and are used until the process has exited.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { FIXTURE_HOST } from "../platform/stand_in/mesh_fixture.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";
import type { RandomSource } from "../src/base/common/random_source.ts";
import { drawPause, MEAN_IDLE_MS } from "./caller_pauses.ts";
import { type CallerConnection, openConnection } from "./caller_connection.ts";
import type { CallKind, ObservedCall } from "./observations.ts";
import { findAccount } from "./soak_accounts.ts";
import type { SoakHost } from "./soak_host.ts";

const MINIMUM_DEADLINE_MS: Milliseconds = 800;
const MAXIMUM_DEADLINE_MS: Milliseconds = 2_500;
/** A caller without a response then closes its connection; route timeouts are far shorter. */
const CALLER_TIMEOUT_MS: Milliseconds = 6_000;
const UPLOAD_BYTES = 60_000;
/** Share of the calls that use a route of the newest configuration. */
const NUMBERED_ROUTE_SHARE = 0.15;
/** Share of the calls after which the caller closes its connection. */
const CLOSED_CONNECTION_SHARE = 0.2;
/** Share of the reads behind which more reads are pipelined. */
const PIPELINED_SHARE = 0.15;
const PIPELINED_CALLS = 3;

const ROUTE_TIMEOUT_MS: Milliseconds = 1_000;
/** As long as the second half of a stop, and also the deadline of calls on this route. */
export const SLOW_ROUTE_TIMEOUT_MS: Milliseconds = 3_000;
const NESTED_PATH = "/peek/unit";

export interface CallersOptions {
  readonly hosts: readonly SoakHost[];
  readonly random: RandomSource;
  readonly callsPerSecond: number;
  /** Whether clients present the keys of accounts. */
  readonly hasAccounts: boolean;
  readonly now: () => Milliseconds;
  /** The number of the newest configuration that the store accepted. */
  readonly newestConfiguration: () => number;
  readonly observerDelay: () => Milliseconds;
  readonly onCall: (call: ObservedCall) => void;
}

export interface NestedCall {
  readonly parent: string;
  readonly deadline: Milliseconds;
}

export interface Callers {
  /** Sends a call from the local instance of a host; resolves with its status. */
  callNested(host: SoakHost, call: NestedCall): Promise<number>;
  /** Stops sending calls; resolves when no call is in flight. */
  stop(): Promise<void>;
}

interface PlannedCall {
  readonly identity: string;
  readonly kind: CallKind;
  readonly service: string;
  readonly path: string;
  readonly deadline: Milliseconds;
  readonly bodyBytes?: number;
  readonly routeTimeout?: Milliseconds;
  readonly routeNumber?: number;
  /** The key of a client account; nested calls have none. */
  readonly key?: string;
}

const ROUTES: readonly (
  & Pick<
    PlannedCall,
    "kind" | "service" | "path" | "bodyBytes" | "routeTimeout"
  >
  & { readonly share: number }
)[] = [
  { kind: "safe", service: "booking", share: 0.54, path: "/lookup/unit" },
  {
    kind: "unsafe",
    service: "booking",
    share: 0.25,
    path: "/reserve/unit",
    bodyBytes: 1_200,
  },
  {
    kind: "upload",
    service: "dispatch",
    share: 0.15,
    path: "/photo/unit",
    bodyBytes: UPLOAD_BYTES,
  },
  {
    kind: "unsafe",
    service: "booking",
    share: 0.06,
    path: "/slow/unit",
    bodyBytes: 100,
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
  let sentCalls = 0;
  let callsInFlight = 0;

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
    if (random.nextFraction() < NUMBERED_ROUTE_SHARE) {
      const routeNumber = options.newestConfiguration();
      return {
        kind: "safe",
        service: serviceOfNumberedRoute(routeNumber),
        path: `/epoch-${routeNumber}/unit`,
        routeNumber,
      };
    }
    let remainder = random.nextFraction();
    return ROUTES.find(({ share }) => (remainder -= share) < 0) ?? ROUTES[0];
  }

  /** Some identities contain that of the call before, which has another account. */
  function createIdentity(number: number): string {
    const format = (each: number) => each.toString(16).padStart(16, "0");
    return number % 4 === 3
      ? `${format(number - 1)}${format(number).slice(-1)}`
      : format(number);
  }

  function drawCall(): PlannedCall {
    sentCalls += 1;
    const route = drawRoute();
    const identity = createIdentity(sentCalls);
    return {
      ...route,
      identity,
      key: options.hasAccounts ? findAccount(identity).api_keys[0] : undefined,
      deadline: route.routeTimeout ?? Math.round(
        MINIMUM_DEADLINE_MS +
          random.nextFraction() * (MAXIMUM_DEADLINE_MS - MINIMUM_DEADLINE_MS),
      ),
    };
  }

  async function call(
    host: SoakHost,
    connection: CallerConnection,
    planned: PlannedCall,
  ): Promise<number> {
    const { identity, kind, service, path, deadline } = planned;
    callsInFlight += 1;
    const sentAt = now();
    const { processNumber } = host;
    const timeout = setTimeout(connection.close, CALLER_TIMEOUT_MS);
    const { body, ...response } = await connection.send(formatRequest(planned));
    clearTimeout(timeout);
    callsInFlight -= 1;
    options.onCall({
      ...response,
      identity,
      kind,
      service,
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
    return response.status;
  }

  /** Runs one caller, which uses one connection at a time. */
  async function runCaller(host: SoakHost, index: number): Promise<void> {
    let connection: CallerConnection | undefined;
    while (!stopping.signal.aborted) {
      const pause = drawPause(random, index / callersPerHost);
      await sleep(pause, undefined, { signal: stopping.signal });
      if (connection?.isIdle !== true) {
        connection && discard(connection);
        connection = connect(host);
      }
      const used = connection;
      const first = drawCall();
      const isPipelined = first.kind === "safe" &&
        random.nextFraction() < PIPELINED_SHARE;
      const pipelined = isPipelined
        ? Array.from({ length: PIPELINED_CALLS }, drawCall)
          .filter(({ kind }) => kind === "safe")
        : [];
      await Promise.all(
        [first, ...pipelined].map((each) => call(host, used, each)),
      );
      if (random.nextFraction() < CLOSED_CONNECTION_SHARE) {
        used.close();
      }
    }
  }

  for (const host of hosts) {
    for (let each = 0; each < callersPerHost; each += 1) {
      runCaller(host, each).catch((error) => {
        if (!stopping.signal.aborted) {
          throw error;
        }
      });
    }
  }
  return {
    async callNested(host, { parent, deadline }) {
      const idle = nestedConnections.get(host.name)!;
      let connection = idle.pop();
      while (connection !== undefined && !connection.isIdle) {
        discard(connection);
        connection = idle.pop();
      }
      connection ??= connect(host);
      const status = await call(host, connection, {
        identity: `${parent}-${sentCalls += 1}`,
        kind: "safe",
        service: "dispatch",
        path: NESTED_PATH,
        deadline,
      });
      idle.push(connection);
      return status;
    },
    async stop() {
      stopping.abort();
      while (callsInFlight > 0) {
        await sleep(20);
      }
      connections.forEach((connection) => connection.close());
    },
  };
}

/** The service of the route that this configuration adds. */
export function serviceOfNumberedRoute(number: number): string {
  return number % 2 === 0 ? "booking" : "dispatch";
}

function formatRequest(
  { identity, path, deadline, bodyBytes, key }: PlannedCall,
): Buffer {
  const head = [
    `${bodyBytes === undefined ? "GET" : "POST"} ${path} HTTP/1.1`,
    `host: ${FIXTURE_HOST}`,
    `x-attempt-id: ${identity}`,
    `x-deadline-ms: ${deadline}`,
    ...(key === undefined ? [] : [`api-key: ${key}`]),
    ...(bodyBytes === undefined ? [] : [`content-length: ${bodyBytes}`]),
  ].join("\r\n");
  return Buffer.concat([
    Buffer.from(`${head}\r\n\r\n`),
    Buffer.alloc(bodyBytes ?? 0, 97),
  ]);
}
