/**
 * A stand-in for an upstream, which serves any path according to its configured behaviour.
 *
 * Its own endpoints are `GET /health`, `GET /load`, `GET /runs`, `GET /runs/keys` with the runs
 * of each idempotency key, and `POST /behaviour`, which replaces the behaviour. All other paths
 * are calls.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import * as valibot from "valibot";
import type { Clock } from "../../base/common/clock.ts";
import type { Disposable } from "../../base/common/disposable.ts";
import { type EventLog, SILENT_LOG } from "../../base/common/event_log.ts";
import type { Milliseconds } from "../../base/common/milliseconds.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../base/common/random_source.ts";
import { listenHttp, readBody, sendJson } from "../../base/node/http_server.ts";
import { SYSTEM_CLOCK } from "../../base/node/system_clock.ts";
import type { UpstreamState } from "../../world/common/upstream_instance.ts";
import {
  BEHAVIOUR_SCHEMA,
  describeReport,
  GOOD_BEHAVIOUR,
  planCall,
  type ServiceTimes,
  type UpstreamBehaviour,
  type UpstreamReport,
} from "../common/upstream_behaviour.ts";
import { createRunCounts, type RunCounts } from "../common/run_counts.ts";
import { createAnnouncer } from "./upstream_announcer.ts";
import { runCall, sendFailure } from "./upstream_call.ts";

const MAXIMUM_BODY_BYTES = 128 * 1_024 * 1_024;
const REPORT_INTERVAL_MS: Milliseconds = 100;

/**
 * A draining upstream still accepts calls for this time, until all daemons know that it is
 * draining (G8).
 */
export const DRAIN_NOTICE_MS: Milliseconds = 3_000;

export interface UpstreamSettings extends Partial<ServiceTimes> {
  readonly service: string;
  readonly version: string;
  readonly address: string;
  /** 0 selects any free port. */
  readonly port: number;
  readonly slots: number;
  /** URL of the daemon on the same host; without it the upstream does not announce itself. */
  readonly administration?: string;
  readonly behaviour?: UpstreamBehaviour;
  readonly drainNoticeMilliseconds?: Milliseconds;
}

export interface UpstreamDependencies {
  readonly clock?: Clock;
  readonly random?: RandomSource;
  readonly log?: EventLog;
}

export interface UpstreamCounts {
  /** Calls received, including those that were shed. */
  calls: number;
  shed: number;
  cancelled: number;
  pastDeadline: number;
}

export interface UpstreamStandIn extends Disposable {
  readonly port: number;
  readonly state: UpstreamState;
  readonly runs: RunCounts;
  readonly counts: Readonly<UpstreamCounts>;
  readonly inFlight: number;
  setBehaviour(behaviour: Partial<UpstreamBehaviour>): void;
  /** Announces that it is draining, finishes the calls in flight and stops. */
  drain(): Promise<void>;
  /** Destroys all connections, as SIGKILL would. */
  kill(): Promise<void>;
}

export async function startUpstreamStandIn(
  settings: UpstreamSettings,
  dependencies: UpstreamDependencies = {},
): Promise<UpstreamStandIn> {
  const clock = dependencies.clock ?? SYSTEM_CLOCK;
  const random = dependencies.random ?? createRandomSource(1);
  const serviceTimes: ServiceTimes = {
    serviceMilliseconds: settings.serviceMilliseconds ?? 5,
    coldMilliseconds: settings.coldMilliseconds ?? 0,
    coldFactor: settings.coldFactor ?? 8,
  };
  const startedAt = clock.now();
  const runs = createRunCounts();
  const counts = { calls: 0, shed: 0, cancelled: 0, pastDeadline: 0 };
  const reportHistory: { at: Milliseconds; report: UpstreamReport }[] = [];
  let behaviour = settings.behaviour ?? GOOD_BEHAVIOUR;
  let state: UpstreamState = "ready";
  let inFlight = 0;

  function currentReport(): UpstreamReport {
    const healthy = behaviour.fault === "none" && state === "ready";
    return { healthy, inFlight, slots: settings.slots };
  }

  function createReport(): UpstreamReport {
    const lag = behaviour.reportLagMilliseconds;
    const earlier = reportHistory.findLast(({ at }) => at <= clock.now() - lag);
    const initial = { healthy: true, inFlight: 0, slots: settings.slots };
    return describeReport(
      behaviour,
      currentReport(),
      earlier?.report ?? initial,
    );
  }

  function handleCall(request: IncomingMessage, response: ServerResponse) {
    counts.calls += 1;
    const header = request.headers["guavarun-deadline-milliseconds"];
    const timeLeft = header === undefined ? Infinity : Number(header);
    const plan = planCall(behaviour, {
      path: request.url ?? "",
      instanceState: {
        age: clock.now() - startedAt,
        inFlight,
        slots: settings.slots,
      },
      serviceTimes,
      timeLeft,
      fraction: random.nextFraction(),
    });
    if (plan.kind !== "run") {
      counts[plan.kind === "shed" ? "shed" : "pastDeadline"] += 1;
      sendFailure(response, plan.kind === "shed" ? 503 : 504, "not-run");
      return;
    }
    inFlight += 1;
    runCall({
      request,
      response,
      plan,
      clock,
      timeLeft,
      maximumBodyBytes: MAXIMUM_BODY_BYTES,
      describe: () => ({
        service: settings.service,
        version: settings.version,
      }),
      onRun: (key) => runs.record(key),
      onEnd(end) {
        inFlight -= 1;
        counts.cancelled += end === "cancelled" ? 1 : 0;
        counts.pastDeadline += end === "deadline" ? 1 : 0;
      },
    });
  }

  async function replaceBehaviour(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request, 64 * 1_024);
    const parsed = valibot.safeParse(
      BEHAVIOUR_SCHEMA,
      body.ok ? parseJson(body.val) : undefined,
    );
    if (!parsed.success) {
      const messages = parsed.issues.map((issue) => issue.message);
      sendJson(response, 400, { problems: messages });
      return;
    }
    behaviour = parsed.output;
    sendJson(response, 200, behaviour);
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    switch (`${request.method} ${request.url}`) {
      case "GET /health": {
        const report = createReport();
        sendJson(response, report.healthy ? 200 : 503, report);
        return;
      }
      case "GET /load":
        sendJson(response, 200, createReport());
        return;
      case "GET /runs":
        sendJson(response, 200, {
          ...counts,
          runs: runs.runs,
          repeated: runs.listRepeated(),
        });
        return;
      case "GET /runs/keys":
        sendJson(response, 200, runs.listKeys());
        return;
      case "POST /behaviour":
        void replaceBehaviour(request, response);
        return;
      default:
        handleCall(request, response);
    }
  }

  const listener = await listenHttp(handle, settings);
  const reportTimer = clock.repeat(REPORT_INTERVAL_MS, () => {
    reportHistory.push({ at: clock.now(), report: currentReport() });
    const maximumReports =
      behaviour.reportLagMilliseconds / REPORT_INTERVAL_MS + 2;
    reportHistory.splice(0, Math.max(0, reportHistory.length - maximumReports));
  });
  const announcer = settings.administration === undefined
    ? undefined
    : createAnnouncer({
      administration: settings.administration,
      describe: () => ({
        service: settings.service,
        version: settings.version,
        address: settings.address,
        port: listener.port,
        slots: settings.slots,
        state,
      }),
      clock,
      log: dependencies.log ?? SILENT_LOG,
    });

  function stop(): void {
    reportTimer.dispose();
    announcer?.dispose();
  }

  async function kill(): Promise<void> {
    stop();
    await listener.close();
  }

  return {
    port: listener.port,
    get state() {
      return state;
    },
    runs,
    counts,
    get inFlight() {
      return inFlight;
    },
    setBehaviour(change) {
      behaviour = { ...behaviour, ...change };
    },
    async drain() {
      state = "draining";
      await announcer?.announce();
      await clock.sleep(settings.drainNoticeMilliseconds ?? DRAIN_NOTICE_MS);
      await listener.drain();
      stop();
    },
    kill,
    dispose: () => void kill(),
  };
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString("utf8"));
  } catch {
    return undefined;
  }
}
