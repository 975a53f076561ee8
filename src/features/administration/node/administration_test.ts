import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { SILENT_LOG } from "../../../base/common/event_log.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import { listenHttp } from "../../../base/node/http_server.ts";
import { decodeMessage } from "../../../base/common/message_codec.ts";
import { SYSTEM_CLOCK } from "../../../base/node/system_clock.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../../world/common/configuration.ts";
import type { UpstreamAnnouncement } from "../../../world/common/upstream_instance.ts";
import type { RecordVerdict } from "../../fold/common/fold.ts";
import {
  type AppendAnswer,
  LogClient,
  type LogPage,
} from "../../log/common/log_client.ts";
import { createMetrics } from "../common/metrics.ts";
import { createAdministration } from "./administration.ts";
import type { PublishedRecord } from "./publisher.ts";

type PlatformFault =
  | "none"
  | "answer-lost"
  | "append-lost"
  | "refused-connection";

const SELF = {
  process: { host: "h", startedAt: 1 },
  failureDomain: "d",
  addresses: {
    address: "127.0.0.1",
    proxyPort: 1,
    administrationPort: 2,
    linkPort: 3,
  },
};

/** A platform log with the verdicts of its records, which simulates faults of the append. */
class FakePlatform extends LogClient {
  fault: PlatformFault = "none";
  readonly records: PublishedRecord[] = [];
  readonly verdicts = new Map<string, RecordVerdict>();

  // deno-lint-ignore require-await
  override async append(
    _: string,
    bytes: Uint8Array,
  ): Promise<Result<AppendAnswer, StepError>> {
    if (this.fault === "refused-connection") {
      return Err(
        new StepError("log.append", "refused", { outcome: "not-run" }),
      );
    }
    if (this.fault !== "append-lost") {
      const record = decodeMessage(bytes, "t").unwrap() as PublishedRecord;
      const offset = this.records.push(record) - 1;
      this.verdicts.set(record.identity, {
        status: "accepted",
        reason: "",
        offset,
      });
      if (this.fault === "none") {
        return Ok({ offset, appendedAt: 0 });
      }
    }
    return Err(new StepError("log.append", "no answer"));
  }

  override read(): Promise<Result<LogPage, StepError>> {
    throw new Error("not read in this test");
  }

  override dispose(): void {}
}

function hash(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

async function start(
  context: TestContext,
  current: Configuration = EMPTY_CONFIGURATION,
) {
  const platform = new FakePlatform();
  const announced: UpstreamAnnouncement[] = [];
  const subscribeNothing = () => ({ dispose() {} });
  const administration = createAdministration({
    self: SELF,
    configuration: {
      current,
      position: 0,
      isReady: true,
      onChanged: subscribeNothing,
      findVerdict: (identity) => platform.verdicts.get(identity),
      dispose() {},
    },
    isReady: () => true,
    directory: {
      self: SELF,
      localMembers: [],
      remoteMembers: [],
      departures: [],
      get instances() {
        return announced.map((announcement) => ({
          ...announcement,
          identity: "i",
          host: "h",
          failureDomain: "d",
        }));
      },
      onChanged: subscribeNothing,
      findMember: () => undefined,
      announce: (announcement) => announced.push(announcement),
      leave() {},
      dispose() {},
    },
    logClient: platform,
    events: [],
    metrics: createMetrics(),
    tokens: [
      { sha256: hash("all"), team: "t", mayPublish: true, customers: ["*"] },
      { sha256: hash("a"), team: "t", mayPublish: true, customers: ["a"] },
      { sha256: hash("read"), team: "t", mayPublish: false, customers: ["*"] },
    ],
    checkRecord: (_, record) =>
      record.kind === "change" && record.upsert.routes?.length
        ? "route r: there is no service s"
        : undefined,
    clock: SYSTEM_CLOCK,
    log: SILENT_LOG,
    maximumBodyBytes: 2_000,
    verdictTimeoutMilliseconds: 60,
  });
  const listener = await listenHttp(administration.handle, {
    address: "127.0.0.1",
    port: 0,
  });
  context.after(() => listener.close());
  const send = async (path: string, body?: unknown, token = "all") => {
    const response = await fetch(`http://127.0.0.1:${listener.port}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${token}` },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await response.text();
    return {
      status: response.status,
      text,
      body: text.startsWith("{") ? JSON.parse(text) : {},
    };
  };
  return { platform, announced, listener, send };
}

const ANNOUNCEMENT = {
  service: "bib",
  version: "2",
  address: "127.0.0.1",
  port: 9,
  slots: 1,
  state: "ready",
};
const EVACUATION = { failureDomain: "d", action: "evacuate" };
const CHANGE_OF_CUSTOMER_B = {
  upsert: {
    contracts: [{
      customer: "b",
      routes: [],
      limits: { requestsPerSecond: 1, concurrency: 1, retryShare: 0 },
    }],
  },
};

test("an unauthorized request gets status 401 or 403 and changes nothing", async (context) => {
  const { platform, announced, send } = await start(context);
  const move = { service: "bib", toVersion: "2", withinMilliseconds: 1_000 };
  const cases: [string, unknown, string, number][] = [
    ["/changes", {}, "wrong", 401],
    ["/moves", move, "", 401],
    ["/changes", {}, "read", 403],
    ["/moves", move, "read", 403],
    ["/changes", CHANGE_OF_CUSTOMER_B, "a", 403],
    ["/changes", { upsert: { failureDomains: ["x"] } }, "a", 403],
    ["/evacuations", EVACUATION, "wrong", 401],
    ["/evacuations", EVACUATION, "read", 403],
    ["/evacuations", EVACUATION, "a", 403],
    ["/evacuations", undefined, "wrong", 401],
    ["/announcements", { ...ANNOUNCEMENT, address: "10.0.0.9" }, "", 403],
    ["/members", undefined, "wrong", 401],
    ["/events", undefined, "wrong", 401],
    ["/metrics", undefined, "wrong", 401],
    ["/changes/x", undefined, "wrong", 401],
  ];
  for (const [path, body, token, status] of cases) {
    assert.equal((await send(path, body, token)).status, status, path);
  }
  assert.deepEqual(platform.records, []);
  assert.deepEqual(announced, []);
});

test("publishing reports the certain result or unknown, and a repeat appends nothing", async (context) => {
  const { platform, send } = await start(context);
  const change = (identity: string) => ({ identity, ...CHANGE_OF_CUSTOMER_B });
  const route = {
    name: "r",
    service: "s",
    method: "GET",
    pathPrefix: "/",
    callClass: "read",
    deadlineMilliseconds: 1,
  };
  const cases: [PlatformFault, object, string, number, number][] = [
    ["none", change("c1"), "accepted", 200, 1],
    ["none", change("c1"), "accepted", 200, 1],
    ["answer-lost", change("c2"), "accepted", 200, 2],
    ["append-lost", change("c3"), "unknown", 504, 2],
    ["refused-connection", change("c4"), "not-run", 503, 2],
    ["none", change("c4"), "accepted", 200, 3],
    ["none", { upsert: { routes: [route] } }, "refused", 409, 3],
    ["none", { baseVersion: 99, ...CHANGE_OF_CUSTOMER_B }, "not-run", 503, 3],
    ["none", { identity: "bad identity" }, "refused", 400, 3],
  ];
  for (const [fault, body, result, status, records] of cases) {
    platform.fault = fault;
    const response = await send("/changes", body);
    const label = JSON.stringify([fault, body]);
    assert.equal(response.body.result, result, label);
    assert.equal(response.status, status, label);
    assert.equal(platform.records.length, records, label);
  }
  assert.equal((await send("/changes/c2")).body.state, "accepted");
  assert.equal((await send("/changes/c3")).status, 404);
});

// Guards against an answer that promises an evacuation which the store does not have.
test("an order to evacuate reports the certain result or unknown, and a repeat appends nothing", async (context) => {
  const { platform, send } = await start(context);
  const order = (identity: string) => ({ identity, ...EVACUATION });
  const cases: [PlatformFault, object, string, number, number, RegExp][] = [
    ["refused-connection", order("e1"), "not-run", 503, 0, /safe to repeat/],
    ["none", order("e1"), "accepted", 200, 1, /d is evacuated as of version 0/],
    ["none", order("e1"), "accepted", 200, 1, /was accepted before/],
    ["answer-lost", order("e2"), "accepted", 200, 2, /is evacuated as of/],
    ["append-lost", order("e3"), "unknown", 504, 2, /outcome of e3 is unknown/],
    ["none", { ...EVACUATION, baseVersion: 99 }, "not-run", 503, 2, /before/],
    ["none", { failureDomain: "d" }, "refused", 400, 2, /^undefined$/],
    ["none", { ...EVACUATION, action: "x" }, "refused", 400, 2, /^undefined$/],
  ];
  for (const [fault, body, result, status, records, text] of cases) {
    platform.fault = fault;
    const response = await send("/evacuations", body);
    const label = JSON.stringify([fault, body]);
    assert.equal(response.body.result, result, label);
    assert.equal(response.status, status, label);
    assert.match(String(response.body.description), text, label);
    assert.equal(platform.records.length, records, label);
  }
  assert.equal(platform.records[0].kind, "evacuation");
  const listed = await send("/evacuations");
  assert.deepEqual(listed.body.failureDomains, []);
});

test("a move to an unannounced version or with a past deadline is refused without appending a record", async (context) => {
  const { platform, send } = await start(context);
  const move = (parts: object) => ({
    service: "bib",
    toVersion: "2",
    ...parts,
  });
  const soon = move({ withinMilliseconds: 60_000 });
  const unannounced = await send("/moves", soon);
  assert.match(unannounced.body.reason, /no upstream announces version 2/);
  assert.equal((await send("/announcements", ANNOUNCEMENT)).status, 200);
  const late = await send("/moves", move({ deadlineAt: 5 }));
  assert.match(late.body.reason, /deadline is in the past/);
  assert.equal(platform.records.length, 0);
  const accepted = await send("/moves", soon);
  assert.equal(accepted.body.result, "accepted");
  assert.equal(platform.records[0].author, "t");
});

// Guards against a move whose new version gets no calls.
test("a move to a version that is announced only in an evacuated failure domain is refused", async (context) => {
  const { platform, send } = await start(context, {
    ...EMPTY_CONFIGURATION,
    evacuations: new Map([
      ["d", { failureDomain: "d", startedAt: 0, author: "t" }],
    ]),
  });
  await send("/announcements", ANNOUNCEMENT);
  const move = { service: "bib", toVersion: "2", withinMilliseconds: 60_000 };
  const { body } = await send("/moves", move);
  assert.match(body.reason, /version 2 of service bib outside evacuated/);
  assert.equal(platform.records.length, 0);
});

test("oversized bodies and headers, unknown or malformed paths and wrong methods are rejected", async (context) => {
  const { listener, send } = await start(context);
  const cases: [string, unknown, number][] = [
    ["/changes", { identity: "x".repeat(3_000) }, 413],
    ["/nothing", undefined, 404],
    ["/%E0%A4%A", undefined, 400],
    ["/members", {}, 405],
    ["/ready", undefined, 200],
  ];
  for (const [path, body, status] of cases) {
    assert.equal((await send(path, body)).status, status, path);
  }
  const response = await new Promise<string>((resolve) => {
    const socket = connect(listener.port, "127.0.0.1");
    socket.write(`GET /ready HTTP/1.1\r\nx: ${"y".repeat(20_000)}\r\n\r\n`);
    socket.once("data", (part) => resolve(part.toString("latin1")));
  });
  assert.match(response, /^HTTP\/1.1 431 /);
  assert.match((await send("/metrics")).text, /requests_total\{status="413"\}/);
});
