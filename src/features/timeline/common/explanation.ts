/**
 * What became of one request, from the log lines of all daemons: the line that decided, what it was
 * decided by, and how old that was.
 *
 * @module
 */

import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { TimelineEvent } from "./timeline_event.ts";

export interface Explanation {
  /** The lines about the request and the calls that an instance made for it, in order. */
  readonly events: readonly TimelineEvent[];
  /** One sentence for each thing that is known about the cause, the decision first. */
  readonly findings: readonly string[];
  /** The host of the daemon that decided; undefined when no line tells. */
  readonly decidedBy: string | undefined;
}

/** Why a gate refused a call, for readers who do not know the code. */
const REFUSALS: Readonly<Record<string, string>> = {
  full: "the gate could not serve it within its objective",
  hopeless: "it waited until it could not end in time any more",
  "no-instance": "no instance of the service was known",
  "other-service": "the instance there belongs to another service or version",
  leaving: "the instance there is leaving",
  unreachable: "the instance or its daemon could not be reached",
  "instance-refused": "the instance itself said that it did not run it",
  cancelled: "it was cancelled",
};

/** Lines that say what a daemon believed, by the decision that they bear on. */
const CONFIGURATION_EVENT = "configuration.read";
const BELIEF_EVENTS = new Set([
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
    fields.request !== undefined && isOfRequest(fields.request, identity)
  );
  const own = events.filter(({ fields }) => fields.request === identity);
  const decision = own.findLast(isDecision);
  if (decision === undefined) {
    return {
      events,
      findings: events.length === 0
        ? [
          "No line names the request: it was answered as usual, or its lines were left out",
        ]
        : ["No line tells what was decided"],
      decidedBy: undefined,
    };
  }
  return {
    events,
    findings: [
      describeDecision(decision),
      ...describeGate(decision, own),
      ...describeNested(events, identity),
      ...describeBeliefs(timeline, decision),
    ],
    decidedBy: decision.host,
  };
}

/** Calls that an instance makes for a request carry its identity in front of their own part. */
function isOfRequest(found: string, identity: string): boolean {
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
      return `404 by ${host}: no route of the configuration in force there matches`;
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
    return `503 by ${host}: ${REFUSALS[reason] ?? reason}${
      gate === undefined ? "" : ` (last gate: ${gate})`
    }; ${reached} instances reached, ${timeLeft} ms left`;
  }
  return fields.next === "fail"
    ? `502 or 504 by ${host}: the outcome at ${gate} is unknown (${
      reason || outcome
    }), and the call may not be repeated; ${timeLeft} ms left`
    : `Status ${status} of the instance at ${gate}, delivered by ${host}`;
}

function describeGate(
  decision: TimelineEvent,
  own: readonly TimelineEvent[],
): string[] {
  return own.filter(({ event }) => event.startsWith("gate.")).map((found) => {
    const { reason, after, instance, status } = found.fields;
    const what = found.event === "gate.exchange-broken"
      ? `the exchange with ${instance} broke off after ${after} ms (${reason})`
      : found.event === "gate.instance-refused"
      ? `${instance} refused it with status ${status}`
      : `${found.event.slice("gate.".length)}${
        reason === undefined ? "" : ` (${reason})`
      }`;
    return `At ${found.host}, ${
      formatAge(decision.at - found.at)
    } the decision: ${what}`;
  });
}

function describeNested(
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

/** What the deciding daemon and the gate had read last, and how long before. */
function describeBeliefs(
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
    const belief = before.findLast((found) =>
      found.host === host && BELIEF_EVENTS.has(found.event)
    );
    if (belief !== undefined) {
      const { instance, state, serving, reason } = belief.fields;
      const details = [
        instance,
        state,
        serving === undefined ? undefined : `serving=${serving}`,
        reason,
      ].filter((detail) => detail !== undefined).join(" ");
      findings.push(
        `Last news at ${host}: ${belief.event} ${details}, ${
          formatAge(decision.at - belief.at)
        }`,
      );
    }
  }
  return findings;
}

function formatAge(age: Milliseconds): string {
  return age < 0 ? `${-age} ms after` : `${age} ms before`;
}
