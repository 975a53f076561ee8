/**
 * Makes the attempts of one call until one succeeds or no retry is permitted.
 *
 * @module
 */

import type { Outcome } from "../../../base/common/step_error.ts";
import type {
  Assignment,
  AttemptResult,
  RoutingRefusal,
} from "../../routing/common/instance_router.ts";
import type { RouteMatch } from "../../table/common/routing_table.ts";
import {
  classifyResponse,
  combineOutcomes,
  outcomeOfFailure,
  resultOfFailure,
} from "../common/attempt_outcome.ts";
import { DEADLINE_HEADER } from "../common/call_headers.ts";
import { computeRemaining } from "../common/deadline.ts";
import { decideRetry, forbidsCallerRetries } from "../common/retry_decision.ts";
import { type AttemptBody, type AttemptEnd, runAttempt } from "./attempt.ts";
import { type CallContext, connectionLimitOf } from "./call_context.ts";
import type { Interruption } from "./interruption.ts";

export interface AttemptLoopOptions {
  readonly match: RouteMatch;
  readonly callIdentity: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers without the deadline header. */
  readonly headers: readonly string[];
  readonly body: AttemptBody;
  readonly interruption: Interruption;
}

/** The result of all attempts of a call. */
export interface AttemptLoopResult {
  /** The last attempt; undefined if no instance could be assigned. */
  readonly last: AttemptEnd | undefined;
  /** Why no instance could be assigned for the first attempt or a retry. */
  readonly routingRefusal: RoutingRefusal | undefined;
  /** The combined outcome of all attempts; `answered` if the last response is the upstream's own. */
  readonly outcome: Outcome | "answered";
  readonly retryNever: boolean;
  /** Reports the result of a streaming response after it was relayed. */
  readonly reportResult: (result: AttemptResult) => void;
}

interface AttemptLoopState {
  attempts: number;
  outcome: Outcome;
  retryNever: boolean;
  budgetRefused: boolean;
  readonly excludedInstances: Set<string>;
}

/** The end of an attempt with its classification. */
interface ClassifiedEnd {
  readonly end: AttemptEnd;
  readonly result: AttemptResult;
  readonly outcome: Outcome | "answered";
  readonly retryNever: boolean;
}

export async function runAttempts(
  context: CallContext,
  options: AttemptLoopOptions,
): Promise<AttemptLoopResult> {
  const { match } = options;
  const state: AttemptLoopState = {
    attempts: 0,
    outcome: "not-run",
    retryNever: false,
    budgetRefused: false,
    excludedInstances: new Set(),
  };
  context.budgetOf(match.contract.customer).recordFirstAttempt(
    context.clock.now(),
  );
  let latest: ClassifiedEnd | undefined;
  while (true) {
    const assignment = context.router.assign({
      service: match.service.name,
      route: match.route.name,
      callIdentity: options.callIdentity,
      exclude: state.excludedInstances,
    });
    if (typeof assignment === "string") {
      return describeLoopResult(state, latest, () => {}, assignment);
    }
    const reportResult = createResultReporter(context, options, assignment);
    latest = await attemptOnce(context, options, { assignment, state });
    if (latest.end.kind === "streaming") {
      return describeLoopResult(state, latest, reportResult);
    }
    reportResult(latest.result);
    if (
      latest.result === "success" ||
      !tryTakeRetry(context, options, state, latest)
    ) {
      return describeLoopResult(state, latest, () => {});
    }
    context.counts.retries += 1;
  }
}

async function attemptOnce(
  context: CallContext,
  options: AttemptLoopOptions,
  { assignment, state }: { assignment: Assignment; state: AttemptLoopState },
): Promise<ClassifiedEnd> {
  const { instance } = assignment;
  const remaining = computeRemaining(
    context.clock.now(),
    options.interruption.deadlineAt,
  );
  state.attempts += 1;
  state.excludedInstances.add(instance.identity);
  context.counts.attempts += 1;
  const end = await runAttempt({
    pool: context.pool,
    peer: instance,
    connectionLimit: connectionLimitOf(context, instance),
    method: options.method,
    path: options.path,
    headers: [...options.headers, DEADLINE_HEADER, String(remaining)],
    body: options.body,
    maximumBodyBytes: context.limits.maximumCallBodyBytes,
    interruption: options.interruption,
    remaining,
  });
  const classified = classifyEnd(end);
  context.log.write("debug", "call.attempted", {
    call: options.callIdentity,
    attempt: state.attempts,
    route: options.match.route.name,
    peer: instance.identity,
    serviceVersion: instance.version,
    result: classified.result,
    outcome: classified.outcome,
  });
  state.retryNever ||= classified.retryNever;
  if (classified.outcome !== "answered") {
    state.outcome = combineOutcomes(state.outcome, classified.outcome);
  } else if (classified.result === "failure") {
    state.outcome = "unknown";
  }
  return classified;
}

function classifyEnd(end: AttemptEnd): ClassifiedEnd {
  if (end.kind === "failed") {
    return {
      end,
      result: resultOfFailure(end.failure),
      outcome: outcomeOfFailure(end.failure),
      retryNever: false,
    };
  }
  return { end, ...classifyResponse(end.upstreamResponse) };
}

function tryTakeRetry(
  context: CallContext,
  options: AttemptLoopOptions,
  state: AttemptLoopState,
  latest: ClassifiedEnd,
): boolean {
  const { contract, route } = options.match;
  const now = context.clock.now();
  const decision = decideRetry({
    callClass: route.callClass,
    attempts: state.attempts,
    outcome: latest.outcome === "not-run" ? "not-run" : "unknown",
    retryNever: state.retryNever,
    isBodyAvailable: isBodyAvailable(options.body),
    isCallerGone: options.interruption.cause === "caller-gone",
    remaining: computeRemaining(now, options.interruption.deadlineAt),
  });
  if (decision !== "permitted") {
    return false;
  }
  const isInBudget = context.budgetOf(contract.customer).takeRetry(
    now,
    contract.limits.retryShare,
  );
  state.budgetRefused ||= !isInBudget;
  return isInBudget;
}

/** A streamed body can be sent again only if none of it was read. */
function isBodyAvailable(body: AttemptBody): boolean {
  return body.kind === "whole" || !body.source.readableDidRead;
}

function createResultReporter(
  context: CallContext,
  options: AttemptLoopOptions,
  assignment: Assignment,
): (result: AttemptResult) => void {
  const startedAt = context.clock.now();
  const { instance } = assignment;
  const load = (context.pool.count(instance.identity).busy + 1) /
    Math.max(1, instance.slots);
  return (result) => {
    const duration = context.clock.now() - startedAt;
    assignment.finish(result, duration);
    // A host that is down is no evidence about the version that it ran.
    if (result !== "not-connected") {
      context.shift.record({
        service: instance.service,
        version: instance.version,
        route: options.match.route.name,
        host: instance.host,
        result,
        durationMilliseconds: duration,
        load,
      });
    }
  };
}

function describeLoopResult(
  state: AttemptLoopState,
  latest: ClassifiedEnd | undefined,
  reportResult: (result: AttemptResult) => void,
  routingRefusal?: RoutingRefusal,
): AttemptLoopResult {
  return {
    last: latest?.end,
    routingRefusal,
    outcome: latest?.outcome === "answered" ? "answered" : state.outcome,
    retryNever: latest?.result !== "success" &&
      forbidsCallerRetries(
        state.attempts,
        state.retryNever,
        state.budgetRefused,
      ),
    reportResult,
  };
}
