/**
 * Explains the outcome of one request from the log lines of all daemons: the decision, the state on which it was
 * based, and the age of that state.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { TimelineEvent } from "./timeline_event.ts";

export interface Explanation {
  /** The events of the request and of the nested calls that instances made for it, in order. */
  readonly events: readonly TimelineEvent[];
  /** One sentence for each known fact about the cause, starting with the decision. */
  readonly findings: readonly string[];
  /** The host of the daemon that decided; undefined when no event contains a decision. */
  readonly decidedBy: string | undefined;
}

/** Descriptions of the reasons for which a gate refuses a call, for readers who do not know the code. */
const REFUSAL_DESCRIPTIONS: Readonly<Record<string, string>> = {
  full: "the gate could not serve it within its objective",
  hopeless: "it waited until it could no longer meet its deadline",
  "above-share":
    "its account has used more than its share of the gate, which had no room in time",
  "nested-refused":
    "the nested calls of such calls were being refused, so it would have failed",
  "no-instance": "no instance of the service was known",
  "other-service": "the instance there belongs to another service or version",
  leaving: "the instance there is leaving",
  evacuated: "the operator has evacuated the failure domain there",
  unreachable: "the instance or its daemon could not be reached",
  "instance-refused": "the instance reported that it did not run it",
  cancelled: "it was cancelled",
};

/** Events that show the configuration in force at a daemon, and events that show the known state of instances. */
const CONFIGURATION_EVENT = "configuration.read";
const STATE_EVENTS = new Set([
  "instance.report",
  "instance.departed",
  "gate.serving-changed",
  "gate.instance-unreachable",
  "store.lost",
  "store.regained",
]);

export function explainRequest(
  timeline: readonly TimelineEvent[],
  identity: string,
): Explanation {
  const events = timeline.filter(({ fields }) =>
    fields.request !== undefined && belongsToRequest(fields.request, identity)
  );
  const requestEvents = events.filter(({ fields }) =>
    fields.request === identity
  );
  const decision = requestEvents.findLast(isDecision);
  if (decision === undefined) {
    return {
      events,
      findings: events.length === 0
        ? [
          "No line names the request: it was answered as usual, or its lines were omitted",
        ]
        : ["No line contains the decision"],
      decidedBy: undefined,
    };
  }
  return {
    events,
    findings: [
      describeDecision(decision),
      ...describeGateEvents(decision, requestEvents),
      ...describeNestedCalls(events, identity),
      ...describeKnownState(timeline, decision),
    ],
    decidedBy: decision.host,
  };
}

/** The identity of a nested call is the identity of its request followed by `.` and a part of its own. */
function belongsToRequest(found: string, identity: string): boolean {
  return found === identity || found.startsWith(`${identity}.`);
}

function isDecision({ event, fields }: TimelineEvent): boolean {
  switch (event) {
    case "call.no-route":
    case "call.refused":
    case "call.expired":
    case "call.stale":
      return true;
    case "call.step":
      return ["refuse", "fail", "deliver"].includes(fields.next ?? "");
    default:
      return false;
  }
}

function describeDecision({ event, host, fields }: TimelineEvent): string {
  const { gate, outcome, reason = "", reached, timeLeft, status } = fields;
  switch (event) {
    case "call.no-route":
      return `404 by ${host}: no route of the configuration in force there matches the request`;
    case "call.stale":
      return `No answer by ${host}: the caller had left when the request was read, ${fields.delay} ms late`;
    case "call.refused":
      return reason === "stale"
        ? `503 by ${host}: the request was read ${fields.delay} ms late`
        : `503 by ${host}: no configuration was known there yet`;
    case "call.expired":
      return `Time over at ${host} after ${fields.after} ms; gates asked: ${
        fields.gates || "none"
      }`;
  }
  if (fields.next === "refuse") {
    return `503 by ${host}: ${REFUSAL_DESCRIPTIONS[reason] ?? reason}${
      gate === undefined ? "" : ` (last gate: ${gate})`
    }; ${reached} instances reached, ${timeLeft} ms left`;
  }
  return fields.next === "fail"
    ? `502 or 504 by ${host}: the outcome at ${gate} is unknown (${
      reason || outcome
    }), and the call must not be retried; ${timeLeft} ms left`
    : `Status ${status} of the instance at ${gate}, delivered by ${host}`;
}

function describeGateEvents(
  decision: TimelineEvent,
  own: readonly TimelineEvent[],
): string[] {
  return own.filter(({ event }) => event.startsWith("gate.")).map((found) => {
    const { reason, after, instance, status } = found.fields;
    const description = found.event === "gate.exchange-broken"
      ? `the exchange with ${instance} broke off after ${after} ms (${reason})`
      : found.event === "gate.instance-refused"
      ? `${instance} refused it with status ${status}`
      : `${found.event.slice("gate.".length)}${
        reason === undefined ? "" : ` (${reason})`
      }`;
    return `At ${found.host}, ${
      formatAge(decision.at - found.at)
    } the decision: ${description}`;
  });
}

function describeNestedCalls(
  events: readonly TimelineEvent[],
  identity: string,
): string[] {
  return events
    .filter((event) => event.fields.request !== identity && isDecision(event))
    .map((event) =>
      `A call that its instance made, ${event.fields.request}: ${
        describeDecision(event)
      }`
    );
}

/** Describes the last state that the deciding daemon and the gate had read before the decision, and its age. */
function describeKnownState(
  timeline: readonly TimelineEvent[],
  decision: TimelineEvent,
): string[] {
  const before = timeline.filter(({ at }) => at <= decision.at);
  const configuration = before.findLast(({ event, host }) =>
    event === CONFIGURATION_EVENT && host === decision.host
  );
  const hosts = new Set([decision.host, decision.fields.gate]);
  const findings = configuration === undefined ? [] : [
    `In force at ${decision.host}: version ${configuration.fields.version}, read ${
      formatAge(decision.at - configuration.at)
    }`,
  ];
  for (const host of hosts) {
    const stateEvent = before.findLast((found) =>
      found.host === host && STATE_EVENTS.has(found.event)
    );
    if (stateEvent !== undefined) {
      const { instance, state, serving, reason } = stateEvent.fields;
      const details = [
        instance,
        state,
        serving === undefined ? undefined : `serving=${serving}`,
        reason,
      ].filter((detail) => detail !== undefined).join(" ");
      findings.push(
        `Last news at ${host}: ${stateEvent.event} ${details}, ${
          formatAge(decision.at - stateEvent.at)
        }`,
      );
    }
  }
  return findings;
}

function formatAge(age: Milliseconds): string {
  return age < 0 ? `${-age} ms after` : `${age} ms before`;
}
