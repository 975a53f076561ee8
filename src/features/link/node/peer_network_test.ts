import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { WebSocket, WebSocketServer } from "ws";
import { createEventBuffer } from "../../../base/common/event_log.ts";
import { createRandomSource } from "../../../base/common/random_source.ts";
import { encodeMessage } from "../../../base/common/message_codec.ts";
import { SYSTEM_CLOCK } from "../../../base/node/system_clock.ts";
import { LINK_PROTOCOL, toWireFrame } from "../common/link_frame.ts";
import {
  computeDialDelay,
  computeHeartbeatInterval,
  createAcceptLimiter,
  replacesLink,
} from "../common/link_rules.ts";
import type { LinkMessage, LinkTarget } from "../common/peer_network.ts";
import { createPeerNetwork } from "./peer_network.ts";

const INTERVAL_MS = 50;
const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

async function startNetwork(host: string, startedAt = 1, linkPort = 0) {
  const { log, events } = createEventBuffer(1_000, () => SYSTEM_CLOCK.now());
  const network = createPeerNetwork({
    self: {
      process: { host, startedAt },
      failureDomain: "d1",
      addresses: {
        address: "127.0.0.1",
        proxyPort: 0,
        administrationPort: 0,
        linkPort,
      },
    },
    clock: SYSTEM_CLOCK,
    random: createRandomSource(startedAt),
    log,
    heartbeatIntervalMilliseconds: INTERVAL_MS,
  });
  cleanups.push(() => network.dispose());
  const history: string[] = [];
  const recordEvent = (
    kind: string,
    process: { host: string; startedAt: number },
  ) => history.push(`${kind} ${process.host}@${process.startedAt}`);
  network.onLinkOpened((peer) => recordEvent("opened", peer.process));
  network.onLinkClosed((peer) => recordEvent("closed", peer.process));
  return {
    network,
    events,
    history,
    target: (await network.listening).unwrap(),
  };
}

async function waitUntil(
  what: string,
  condition: () => boolean,
  limit = 5_000,
) {
  for (let waited = 0; !condition(); waited += 5) {
    assert.ok(waited < limit, `waited ${limit} ms for ${what}`);
    await SYSTEM_CLOCK.sleep(5);
  }
}

const hello = (host: string) =>
  encodeMessage(toWireFrame({
    type: "hello",
    protocol: LINK_PROTOCOL,
    purpose: "link",
    peer: { process: { host, startedAt: 1 }, failureDomain: "d1" },
  }));
const PING = encodeMessage(toWireFrame({ type: "ping" }));

/** A peer without a peer network: it accepts links and sends a hello; the test adds further behaviour. */
async function startRawPeer(host: string, onLink: (socket: WebSocket) => void) {
  const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
  const sockets: WebSocket[] = [];
  server.on("connection", (socket) => {
    sockets.push(socket);
    socket.send(hello(host));
    onLink(socket);
  });
  await new Promise((resolve) => server.once("listening", resolve));
  cleanups.push(() => {
    sockets.forEach((socket) => socket.terminate());
    server.close();
  });
  const { port } = server.address() as { port: number };
  const target: LinkTarget = { host, address: "127.0.0.1", port };
  return { target, sockets };
}

test("when both sides open a link, one is kept, no closed link is reported and no message is lost", async () => {
  const a = await startNetwork("a");
  const b = await startNetwork("b");
  a.network.setTargets([b.target]);
  b.network.setTargets([a.target]);
  await waitUntil("links", () => a.history.length + b.history.length === 2);
  const received: LinkMessage[] = [];
  b.network.onMessage("note", (peer, message) => {
    assert.equal(peer.process.host, "a");
    received.push(message);
  });
  for (let number = 0; number < 100; number += 1) {
    assert.ok(a.network.send("b", { kind: "note", number } as LinkMessage));
    await SYSTEM_CLOCK.sleep(number % 10 === 0 ? 10 : 0);
  }
  await waitUntil("messages", () => received.length === 100);
  await SYSTEM_CLOCK.sleep(6 * INTERVAL_MS);
  assert.deepEqual(a.history, ["opened b@1"]);
  assert.deepEqual(b.history, ["opened a@1"]);
  assert.ok(a.network.traffic.sentBytes > 2_000);
});

test("the outcome of a failed request is not-run if the request was not sent, otherwise unknown", async () => {
  const a = await startNetwork("a");
  const b = await startNetwork("b");
  a.network.setAddressResolver((host) =>
    host === "b"
      ? b.target
      : host === "closed"
      ? { host, address: "127.0.0.1", port: 1 }
      : undefined
  );
  b.network.onRequest("echo", (_, message) => message);
  b.network.onRequest("slow", () => new Promise(() => {}));
  b.network.onRequest("broken", () => {
    throw new Error("fault of a handler");
  });
  const cases = [
    { host: "b", kind: "echo", expected: "echo" },
    { host: "b", kind: "slow", expected: "unknown" },
    { host: "b", kind: "broken", expected: "unknown" },
    { host: "b", kind: "no-handler", expected: "unknown" },
    { host: "closed", kind: "echo", expected: "not-run" },
    { host: "not-known", kind: "echo", expected: "not-run" },
    { host: "b", kind: "x".repeat(5_000_000), expected: "not-run" },
  ];
  for (const { host, kind, expected } of cases) {
    const result = await a.network.request(host, { kind }, {
      timeoutMilliseconds: 100,
    });
    assert.equal(result.ok ? result.val.kind : result.val.outcome, expected);
  }
  assert.deepEqual(
    a.network.peers,
    [],
    "a temporary link is not listed as a peer",
  );
  assert.deepEqual(b.history, []);
});

test("a process that replaces another one on its host also replaces its link", async () => {
  const a = await startNetwork("a");
  const old = await startNetwork("b", 1);
  a.network.setTargets([old.target]);
  await waitUntil("link", () => a.history.length === 1);
  const next = await startNetwork("b", 2);
  next.network.setTargets([a.target]);
  await waitUntil("replacement", () => a.history.length === 3);
  assert.deepEqual(a.history, ["opened b@1", "closed b@1", "opened b@2"]);
  assert.equal(a.network.peers[0].process.startedAt, 2);
});

/** Messages of 500 kB; more than the limit of unsent bytes and the kernel's buffers can hold. */
const MAXIMUM_ACCEPTED = 40;

const UNRESPONSIVE_PEERS = [
  { name: "answers nothing", onLink: () => {} },
  {
    name: "reads nothing and answers nothing",
    onLink: (socket: WebSocket) => socket.pause(),
  },
  {
    name: "reads nothing but still sends",
    onLink(socket: WebSocket) {
      socket.pause();
      const timer = setInterval(() => socket.send(PING), INTERVAL_MS);
      cleanups.push(() => clearInterval(timer));
    },
  },
];

for (const { name, onLink } of UNRESPONSIVE_PEERS) {
  test(`a peer that ${name} loses its link, and a new one is opened`, async () => {
    const a = await startNetwork("a");
    const peer = await startRawPeer("b", onLink);
    a.network.setTargets([peer.target]);
    await waitUntil("link", () => a.history.length === 1);
    const startedAt = SYSTEM_CLOCK.now();
    let accepted = 0;
    let refusedAt = 0;
    await waitUntil("second link", () => {
      const load = { kind: "load", bytes: "x".repeat(500_000) } as LinkMessage;
      // On a busy machine this runs only a few times before the link is closed, so each run sends until refused.
      if (peer.sockets.length === 1 && a.network.peers.length === 1) {
        while (accepted < MAXIMUM_ACCEPTED && a.network.send("b", load)) {
          accepted += 1;
        }
        refusedAt ||= accepted < MAXIMUM_ACCEPTED ? SYSTEM_CLOCK.now() : 0;
      }
      return peer.sockets.length >= 2;
    });
    assert.ok(SYSTEM_CLOCK.now() - startedAt < 20 * INTERVAL_MS + 1_000);
    if (name !== "answers nothing") {
      // The kernel's socket buffers hold a few megabytes beyond the limit.
      assert.ok(
        accepted < MAXIMUM_ACCEPTED,
        `${accepted} messages of 500 kB were accepted`,
      );
      assert.ok(refusedAt > 0, "no message was refused");
    }
  });
}

test("a link that carries no messages stays open through pings", async () => {
  const a = await startNetwork("a");
  const b = await startNetwork("b");
  a.network.setTargets([b.target]);
  await waitUntil("link", () => a.history.length === 1);
  await SYSTEM_CLOCK.sleep(12 * INTERVAL_MS);
  assert.deepEqual([a.history, b.history], [["opened b@1"], ["opened a@1"]]);
});

test("a peer that announces a longer heartbeat interval keeps its link for that time, and is overdue before the link closes", async () => {
  const a = await startNetwork("a");
  const announced = 20 * INTERVAL_MS;
  const peer = await startRawPeer("b", (socket) => {
    socket.send(
      encodeMessage(toWireFrame({ type: "ping", interval: announced })),
    );
  });
  a.network.setTargets([peer.target]);
  await waitUntil("link", () => a.history.length === 1);
  const openedAt = SYSTEM_CLOCK.now();
  assert.equal(a.network.getOverdueTime("b"), 0);
  await waitUntil("overdue", () => a.network.getOverdueTime("b") > 0);
  assert.ok(SYSTEM_CLOCK.now() - openedAt >= announced - INTERVAL_MS);
  assert.deepEqual(a.history, ["opened b@1"]);
  await waitUntil("lost", () => a.history.length === 2);
  assert.ok(SYSTEM_CLOCK.now() - openedAt >= 2 * announced);
});

test("of two daemons that have each other as targets, exactly one dials without delay, which halves the handshakes of a starting fleet", () => {
  const hosts = Array.from({ length: 40 }, (_, index) => `host-${index}`);
  const firsts = hosts.map((own) =>
    hosts.filter((other) =>
      own !== other && computeDialDelay(own, other, 40) === 0
    )
      .length
  );
  for (const own of hosts) {
    for (const other of hosts) {
      if (own !== other) {
        const delays = [
          computeDialDelay(own, other, 40),
          computeDialDelay(other, own, 40),
        ];
        assert.deepEqual(delays.sort((a, b) => a - b), [0, 320]);
      }
    }
  }
  assert.ok(Math.max(...firsts) < 32, `one host dials ${Math.max(...firsts)}`);
});

test("the heartbeat interval grows with the number of links, up to a maximum", () => {
  const cases = [
    { links: 0, interval: 500 },
    { links: 12, interval: 500 },
    { links: 32, interval: 500 },
    { links: 64, interval: 1_000 },
    { links: 1_000, interval: 4_000 },
  ];
  for (const { links, interval } of cases) {
    assert.equal(computeHeartbeatInterval(500, links), interval);
  }
});

test("a connection that sends an invalid or unexpected frame is closed, and other links stay open", async () => {
  const a = await startNetwork("a");
  const b = await startNetwork("b");
  b.network.setTargets([a.target]);
  await waitUntil("link", () => a.history.length === 1);
  const faults = [
    [Buffer.from([0xc1])],
    ["text"],
    [PING],
    [hello("c"), encodeMessage([2, { kind: 7 }])],
    [hello("c"), Buffer.alloc(5_000_000)],
    [hello("a")],
  ];
  for (const frames of faults) {
    const socket = new WebSocket(`ws://127.0.0.1:${a.target.port}/`);
    socket.on("error", () => {});
    const closed = new Promise((resolve) => socket.once("close", resolve));
    await new Promise((resolve) => socket.once("open", resolve));
    frames.forEach((frame) => socket.send(frame));
    await closed;
  }
  assert.deepEqual(a.network.peers.map(({ process }) => process.host), ["b"]);
  assert.ok(!a.events.some(({ event }) => event === "link.silent"));
});

test("links beyond 20 per second are refused with a retry delay, and all are open within 8 s", async () => {
  const hub = await startNetwork("hub");
  const others = await Promise.all(
    Array.from(
      { length: 45 },
      (_, index) => startNetwork(`h${index}`, index + 2),
    ),
  );
  const startedAt = SYSTEM_CLOCK.now();
  others.forEach(({ network }) => network.setTargets([hub.target]));
  await waitUntil("all links", () => {
    const { length } = hub.network.peers;
    const windows = Math.floor((SYSTEM_CLOCK.now() - startedAt) / 1_000) + 1;
    assert.ok(length <= 20 * windows, `${length} in ${windows} windows`);
    return length === 45;
  }, 8_000);
});

test("the accept limiter spreads the retries of refused callers over the next windows", () => {
  const limiter = createAcceptLimiter(2);
  const cases = [[0, 0], [100, 0], [200, 800], [300, 700], [400, 1_600], [
    1_000,
    0,
  ], [500, 0]];
  for (const [now, delay] of cases) {
    assert.equal(limiter.accept(now), delay);
  }
});

test("both sides keep the same one of two links, so that one stays open", () => {
  const origin = (startedAt: number, openedBy: string) => ({
    process: { host: "b", startedAt },
    openedBy,
  });
  const cases = [
    { present: origin(1, "a"), next: origin(2, "b"), replaces: true },
    { present: origin(2, "b"), next: origin(1, "a"), replaces: false },
    { present: origin(1, "a"), next: origin(1, "b"), replaces: false },
    { present: origin(1, "b"), next: origin(1, "a"), replaces: true },
    { present: origin(1, "a"), next: origin(1, "a"), replaces: true },
  ];
  for (const { present, next, replaces } of cases) {
    assert.equal(replacesLink(present, next), replaces);
  }
});
