import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { explainRequest } from "./explanation.ts";
import { mergeTimeline } from "./merge.ts";
import { parseLogLine, type TimelineEvent } from "./timeline_event.ts";

/** Log lines of the daemons of three hosts. One line of host c has the fields of a log collector in front. */
const LINES = [
  "time=2026-01-01T00:00:01.000Z level=info event=configuration.read host=a failureDomain=x version=7 replaces=6 outcome=in-force",
  "time=2026-01-01T00:00:01.500Z level=info event=instance.report host=b failureDomain=y instance=i-b state=draining sequence=4 outcome=changed",
  "time=2026-01-01T00:00:02.000Z level=info event=call.step host=a failureDomain=x request=r1 route=k gate=c outcome=refused reason=full next=ask-next reached=0 timeLeft=700",
  "time=2026-01-01T00:00:02.010Z level=info event=call.step host=a failureDomain=x request=r1 route=k gate=b outcome=refused reason=leaving next=refuse reached=0 timeLeft=690",
  "time=2026-01-01T00:00:02.390Z level=info event=gate.exchange-broken host=b failureDomain=y request=r2 reason=ECONNRESET after=90 instance=i-b",
  "time=2026-01-01T00:00:02.400Z level=info event=call.step host=a failureDomain=x request=r2 route=w kind=unsafe gate=b outcome=failed reason=ECONNRESET next=fail reached=1 timeLeft=500",
  "time=2026-01-01T00:00:02.500Z level=info event=call.no-route host=a failureDomain=x request=r3",
  "  3.1 host-c time=2026-01-01T00:00:03.000Z level=info event=call.step host=c failureDomain=x request=r4.9 route=n gate=b outcome=refused reason=hopeless next=refuse reached=0 timeLeft=80",
  "time=2026-01-01T00:00:03.100Z level=info event=call.step host=a failureDomain=x request=r4 route=k gate=c outcome=answer status=500 next=deliver reached=1 timeLeft=300",
  'time=2026-01-01T00:00:03.500Z level=info event=call.expired host=a failureDomain=x request=r5 route=k gates="b,c" after=800',
  "time=2026-01-01T00:00:03.600Z level=info event=call.stale host=c failureDomain=x request=r6 delay=640",
  "time=2026-01-01T00:00:03.700Z level=info event=call.step host=a failureDomain=x request=r7 route=k gate=c outcome=refused reason=above-share next=refuse reached=0 timeLeft=600",
  "time=2026-01-01T00:00:03.800Z level=info event=call.step host=a failureDomain=x request=r8 route=k gate=c outcome=refused reason=nested-refused next=refuse reached=0 timeLeft=600",
  "time=2026-01-01T00:00:03.900Z level=info event=call.step host=c failureDomain=x request=r9 route=k gate=b outcome=refused reason=evacuated next=refuse reached=0 timeLeft=90",
];

const TIMELINE: readonly TimelineEvent[] = mergeTimeline(
  LINES.map((line) => {
    const event = parseLogLine(line);
    assert.ok(event !== undefined, line);
    return event;
  }),
);

interface Case {
  readonly name: string;
  readonly request: string;
  readonly decidedBy: string | undefined;
  readonly findings: readonly RegExp[];
}

const CASES: readonly Case[] = [
  {
    name: "a refusal of an account above its share is described",
    request: "r7",
    decidedBy: "a",
    findings: [
      /^503 by a: its account has used more than its share .*\(last gate: c\)/,
      /version 7/,
    ],
  },
  {
    name: "a refusal of a call whose nested calls are refused is described",
    request: "r8",
    decidedBy: "a",
    findings: [
      /^503 by a: the nested calls of such calls were being refused.*\(last gate: c\)/,
      /version 7/,
    ],
  },
  {
    name: "a refusal names the last gate, its reason and its last known state",
    request: "r1",
    decidedBy: "a",
    findings: [
      /^503 by a: the instance there is leaving \(last gate: b\); 0 instances reached, 690 ms left$/,
      /^In force at a: version 7, read 1010 ms before$/,
      /^Last news at b: instance.report i-b draining, 510 ms before$/,
    ],
  },
  {
    name: "an unknown outcome names the error at the gate",
    request: "r2",
    decidedBy: "a",
    findings: [
      /^502 or 504 by a: the outcome at b is unknown \(ECONNRESET\)/,
      /^At b, 10 ms before the decision: the exchange with i-b broke off after 90 ms \(ECONNRESET\)$/,
      /version 7/,
      /Last news at b/,
    ],
  },
  {
    name:
      "a request without a matching route names the configuration and its age",
    request: "r3",
    decidedBy: "a",
    findings: [/^404 by a/, /version 7, read 1500 ms before$/],
  },
  {
    name: "an error response of an instance names the refused nested call",
    request: "r4",
    decidedBy: "a",
    findings: [
      /^Status 500 of the instance at c, delivered by a$/,
      /^A call that its instance made, r4\.9: 503 by c: it waited until/,
      /version 7/,
    ],
  },
  {
    name: "an expired call names the gates that were tried",
    request: "r5",
    decidedBy: "a",
    findings: [
      /^Time over at a after 800 ms; gates asked: b,c$/,
      /version 7/,
    ],
  },
  {
    name: "a caller that had disconnected is not reported as a failure",
    request: "r6",
    decidedBy: "c",
    findings: [
      /^No answer by c: the caller had left .* 640 ms late$/,
    ],
  },
  {
    name: "a refusal for an evacuation says that the operator has asked for it",
    request: "r9",
    decidedBy: "c",
    findings: [
      /^503 by c: the operator has evacuated the failure domain/,
      /^/,
    ],
  },
  {
    name: "a request that no log line names",
    request: "r",
    decidedBy: undefined,
    findings: [/^No line names the request/],
  },
];

// Guards against explanations from which the operator cannot tell the cause without reading the log lines.
describe("explanation of the outcome of a request", () => {
  for (const { name, request, decidedBy, findings } of CASES) {
    test(name, () => {
      const explanation = explainRequest(TIMELINE, request);
      assert.equal(explanation.decidedBy, decidedBy);
      assert.equal(explanation.findings.length, findings.length);
      findings.forEach((expected, index) =>
        assert.match(explanation.findings[index], expected)
      );
    });
  }
});
