import assert from "node:assert/strict";
import { request } from "node:http";
import { after, before, describe, test } from "node:test";
import {
  createEventBuffer,
  type LogEvent,
} from "../../../base/common/event_log.ts";
import {
  type HttpListener,
  listenHttp,
} from "../../../base/node/http_server.ts";
import type { GateOutcome } from "../../gate/common/gate_call.ts";
import type { OfferOptions } from "../../gate/common/gate_client.ts";
import {
  createFixtureIngress,
  FIXTURE_INGRESS_HOST,
  FIXTURE_ROUTE,
  listFixtureCandidates,
} from "./ingress_fixture.ts";
import type { Ingress } from "./ingress_options.ts";

/** Long before the time-out of the route, at which a call would end anyway. */
const PROMPT_MS = 1_000;

const ANSWER: GateOutcome = {
  type: "answer",
  status: 200,
  rawHeaders: ["x-server", "a"],
  body: Buffer.from("whole"),
  serviceMilliseconds: 1,
  wasNestedRefused: false,
};

/** The steps of a call that can be made to fail. */
type Step =
  | "find the route"
  | "choose the version"
  | "list the candidates"
  | "offer"
  | "offer, after the gate took the call"
  | "record the delay"
  | "record the end";

interface Case {
  readonly name: string;
  readonly failing?: Step;
  readonly answer?: GateOutcome;
  /** The response of the affected call. */
  readonly status: number;
  /** The own gate may settle the call before the step fails. */
  readonly statusAtOwnGate?: number;
}

const CASES: readonly Case[] = [
  {
    name: "a header value of a response that cannot be written",
    answer: { ...ANSWER, rawHeaders: ["date", "Sat\0"] },
    status: 502,
  },
  {
    name: "a header name of a response that cannot be written",
    answer: { ...ANSWER, rawHeaders: ["da te", "Sat"] },
    status: 502,
  },
  {
    name: "a status that cannot be written",
    answer: { ...ANSWER, status: 20 },
    status: 502,
  },
  {
    name: "a header beyond latin1",
    answer: { ...ANSWER, rawHeaders: ["x-name", "\u0416"] },
    status: 502,
  },
  {
    // The status line may have been sent, so the connection is closed.
    name: "a body that cannot be written",
    answer: { ...ANSWER, body: 5 as unknown as Uint8Array },
    status: 0,
  },
  {
    name: "an exception in: find the route",
    failing: "find the route",
    status: 503,
  },
  {
    name: "an exception in: choose the version",
    failing: "choose the version",
    status: 503,
  },
  {
    name: "an exception in: list the candidates",
    failing: "list the candidates",
    status: 503,
  },
  { name: "an exception in: offer", failing: "offer", status: 502 },
  {
    name: "an exception in: offer, after the gate took the call",
    failing: "offer, after the gate took the call",
    status: 502,
    statusAtOwnGate: 200,
  },
  {
    name: "an exception in: record the delay",
    failing: "record the delay",
    status: 502,
  },
  {
    name: "an exception in: record the end",
    failing: "record the end",
    status: 200,
  },
];

interface Response {
  readonly status: number;
  readonly body: string;
  readonly duration: number;
}

// Guards against a call whose response fails after the call has ended: its client got no response at all.
for (const isRemote of [false, true]) {
  describe(`a call at ${isRemote ? "another gate" : "the own gate"} gets a response whatever fails`, () => {
    const gateHost = isRemote ? "b-1" : FIXTURE_INGRESS_HOST;
    let listener: HttpListener;
    let ingress: Ingress;
    let failing: Step | undefined;
    let answer: GateOutcome = ANSWER;
    let taken: OfferOptions | undefined;
    const buffer = createEventBuffer(1_000, () => performance.now());

    const failIn = (step: Step) => {
      if (failing === step) {
        throw new Error(`cannot ${step}`);
      }
    };

    before(async () => {
      ingress = createFixtureIngress({
        log: buffer.log,
        gateHost,
        offer(_, offer) {
          failIn("offer");
          const outcome = answer;
          // Messages of links are handled in events of their own.
          if (isRemote) {
            setImmediate(() => offer.settle(outcome));
          } else {
            offer.settle(outcome);
          }
          taken = offer;
          failIn("offer, after the gate took the call");
          return { cancel() {} };
        },
        routes: () => ({
          find() {
            failIn("find the route");
            return FIXTURE_ROUTE;
          },
        }),
        candidates() {
          failIn("list the candidates");
          return listFixtureCandidates(gateHost);
        },
        hostDelays: { record: () => failIn("record the delay") },
        chooseVersion() {
          failIn("choose the version");
          return {
            isPreferred: () => true,
            isPreferredForRetry: () => true,
            isAllowed: () => true,
          };
        },
      });
      ingress.onCallEnded(() => failIn("record the end"));
      listener = await listenHttp(ingress.handle, {
        address: "127.0.0.1",
        port: 0,
      });
    });

    after(() => listener.close());

    function call(identity: string): Promise<Response> {
      const startedAt = performance.now();
      return new Promise((resolve) => {
        const end = (status: number, body: string) =>
          resolve({ status, body, duration: performance.now() - startedAt });
        const outgoing = request({
          port: listener.port,
          method: "POST",
          agent: false,
          headers: { host: "mesh.example", "x-request": identity },
        }, (response) => {
          let body = "";
          response.on("data", (part: Buffer) => body += part.toString());
          response.on("end", () => end(response.statusCode!, body));
          response.on("error", () => end(0, ""));
        });
        outgoing.on("error", () => end(0, ""));
        outgoing.end("body");
      });
    }

    const findFailures = (identity: string): LogEvent[] =>
      buffer.events.filter(({ level, fields }) =>
        level === "error" && fields.request === identity
      );

    for (const each of CASES) {
      // The delay of the own host is not recorded.
      if (each.failing === "record the delay" && !isRemote) {
        continue;
      }
      test(each.name, async () => {
        failing = each.failing;
        answer = each.answer ?? ANSWER;
        const affected = await call(each.name);
        failing = undefined;
        answer = ANSWER;
        const status = isRemote
          ? each.status
          : each.statusAtOwnGate ?? each.status;
        assert.equal(affected.status, status);
        assert.ok(affected.duration < PROMPT_MS, `${affected.duration} ms`);
        assert.equal(affected.body === "whole", status === 200);
        const failures = findFailures(each.name);
        assert.equal(failures.length, 1, "the failure is logged once");
        assert.equal(ingress.activeCalls, 0);
        // A late outcome of the call changes nothing.
        taken?.settle(ANSWER);
        const next = await call(`after ${each.name}`);
        assert.equal(next.status, 200);
        assert.equal(next.body, "whole");
      });
    }
  });
}
