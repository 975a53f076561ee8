/**
 * The attempts of one call, until one is answered or no other may follow.
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
  combineOutcomes,
  judgeAnswer,
  outcomeOfFailure,
  resultOfFailure,
} from "../common/attempt_outcome.ts";
import { DEADLINE_HEADER } from "../common/call_headers.ts";
import { computeRemaining } from "../common/deadline.ts";
import { decideRetry, forbidsRetryAbove } from "../common/retry_decision.ts";
import { type AttemptBody, type AttemptEnd, runAttempt } from "./attempt.ts";
import { type CallContext, connectionLimitOf } from "./call_context.ts";
import type { Interruption } from "./interruption.ts";

export interface LoopOptions {
  readonly match: RouteMatch;
  readonly callIdentity: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers without the deadline. */
  readonly headers: readonly string[];
  readonly body: AttemptBody;
  readonly interruption: Interruption;
}

/** The end of all attempts of a call. */
export interface LoopEnd {
  /** Undefined when no instance could be assigned at all. */
  readonly last: AttemptEnd | undefined;
  /** Why there was no instance for a first or a further attempt. */
  readonly routingRefusal: RoutingRefusal | undefined;
  /** What is known of all attempts together; `answered` for an upstream's own answer. */
  readonly outcome: Outcome | "answered";
  readonly retryNever: boolean;
  /** Reports the result of a streaming answer when it was relayed. */
  readonly finish: (result: AttemptResult) => void;
}

interface LoopState {
  attempts: number;
  outcome: Outcome;
  retryNever: boolean;
  budgetRefused: boolean;
  readonly exclude: Set<string>;
}

/** An attempt that ended, with what its end says. */
interface JudgedEnd {
  readonly end: AttemptEnd;
  readonly result: AttemptResult;
  readonly outcome: Outcome | "answered";
  readonly retryNever: boolean;
}

export async function runAttempts(
  context: CallContext,
  options: LoopOptions,
): Promise<LoopEnd> {
  const { match } = options;
  const state: LoopState = {
    attempts: 0,
    outcome: "not-run",
    retryNever: false,
    budgetRefused: false,
    exclude: new Set(),
  };
  context.budgetOf(match.contract.customer).recordFirstAttempt(
    context.clock.now(),
  );
  let latest: JudgedEnd | undefined;
  while (true) {
    const assignment = context.router.assign({
      service: match.service.name,
      route: match.route.name,
      callIdentity: options.callIdentity,
      exclude: state.exclude,
    });
    if (typeof assignment === "string") {
      return describeEnd(state, latest, () => {}, assignment);
    }
    const finish = createFinish(context, options, assignment);
    latest = await attemptOnce(context, options, { assignment, state });
    if (latest.end.kind === "streaming") {
      return describeEnd(state, latest, finish);
    }
    finish(latest.result);
    if (
      latest.result === "success" || !mayRetry(context, options, state, latest)
    ) {
      return describeEnd(state, latest, () => {});
    }
    context.counts.retries += 1;
  }
}

async function attemptOnce(
  context: CallContext,
  options: LoopOptions,
  { assignment, state }: { assignment: Assignment; state: LoopState },
): Promise<JudgedEnd> {
  const { instance } = assignment;
  const remaining = computeRemaining(
    context.clock.now(),
    options.interruption.deadlineAt,
  );
  state.attempts += 1;
  state.exclude.add(instance.identity);
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
  const judged = judgeEnd(end);
  context.log.write("debug", "call.attempted", {
    call: options.callIdentity,
    attempt: state.attempts,
    route: options.match.route.name,
    peer: instance.identity,
    serviceVersion: instance.version,
    result: judged.result,
    outcome: judged.outcome,
  });
  state.retryNever ||= judged.retryNever;
  if (judged.outcome !== "answered") {
    state.outcome = combineOutcomes(state.outcome, judged.outcome);
  } else if (judged.result === "failure") {
    state.outcome = "unknown";
  }
  return judged;
}

function judgeEnd(end: AttemptEnd): JudgedEnd {
  if (end.kind === "failed") {
    return {
      end,
      result: resultOfFailure(end.failure),
      outcome: outcomeOfFailure(end.failure),
      retryNever: false,
    };
  }
  return { end, ...judgeAnswer(end.answer) };
}

function mayRetry(
  context: CallContext,
  options: LoopOptions,
  state: LoopState,
  latest: JudgedEnd,
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

/** A streamed body can be sent as long as none of it was read. */
function isBodyAvailable(body: AttemptBody): boolean {
  return body.kind === "whole" || !body.source.readableDidRead;
}

function createFinish(
  context: CallContext,
  options: LoopOptions,
  assignment: Assignment,
): (result: AttemptResult) => void {
  const startedAt = context.clock.now();
  const { instance } = assignment;
  const load = (context.pool.count(instance.identity).busy + 1) /
    Math.max(1, instance.slots);
  return (result) => {
    const duration = context.clock.now() - startedAt;
    assignment.finish(result, duration);
    // A host that is down says nothing about the version that it ran.
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

function describeEnd(
  state: LoopState,
  latest: JudgedEnd | undefined,
  finish: (result: AttemptResult) => void,
  routingRefusal?: RoutingRefusal,
): LoopEnd {
  return {
    last: latest?.end,
    routingRefusal,
    outcome: latest?.outcome === "answered" ? "answered" : state.outcome,
    retryNever: latest?.result !== "success" &&
      forbidsRetryAbove(state.attempts, state.retryNever, state.budgetRefused),
    finish,
  };
}
