/**
 * Stand-in for an application instance as the pages describe it: it runs `slots` requests at a time and
 * queues a few more, answers 421 to requests for another instance, and drops a request whose connection
 * closes.
 */

import { createServer } from "node:http";
import { ADDRESS, createHeartbeats } from "./mesh.mjs";

const QUEUE_LENGTH = 48;
const IDLE_CLOSE_MS = 10_000;

/**
 * Starts an instance. `work` returns how long a request takes, in milliseconds. `answer` may write the
 * answer itself and then returns true.
 */
export async function startInstance({
  identity,
  service,
  version = "v1",
  zone,
  control,
  port = 0,
  predecessor,
  slots = 12,
  work = () => 100,
  answer = () => false,
  onRun = () => {},
  onArrive = () => {},
  heartbeats: wantsHeartbeats = true,
  born = Date.now(),
}) {
  const waiting = [];
  const sockets = new Set();
  const oldSockets = new WeakSet();
  let successor;
  let running = 0;
  let isHanging = false;

  function startNext() {
    while (running < slots && waiting.length > 0 && !isHanging) {
      const call = waiting.shift();
      if (!call.isDropped) {
        execute(call);
      }
    }
  }

  function execute(call) {
    const { request, response, id, body } = call;
    running += 1;
    onRun({ id, request, body, identity, service });
    const end = () => {
      running -= 1;
      startNext();
    };
    const timer = setTimeout(() => {
      request.socket.off("close", drop);
      end();
      if (isHanging) {
        return;
      }
      if (!answer({ id, request, response, body })) {
        writeAnswer(response, { id, identity, running, slots });
      }
    }, work({ id, request, body }));
    const drop = () => {
      clearTimeout(timer);
      end();
    };
    request.socket.once("close", drop);
  }

  const server = createServer(
    { keepAliveTimeout: IDLE_CLOSE_MS },
    (request, response) => {
      if (isHanging) {
        if (successor !== undefined && !oldSockets.has(request.socket)) {
          successor(request, response);
        }
        return;
      }
      if (request.url === "/healthz") {
        response.writeHead(200, { "x-instance-id": identity });
        response.end();
        return;
      }
      const id = String(request.headers["x-attempt-id"] ?? "");
      onArrive({ id, request, identity, service });
      if (request.headers["x-expect-instance"] !== identity) {
        request.resume();
        response.writeHead(421, {
          "x-instance-id": identity,
          "x-attempt-id": id,
        });
        response.end();
        return;
      }
      const parts = [];
      request.on("data", (part) => parts.push(part));
      request.on("end", () => {
        const call = {
          request,
          response,
          id,
          body: Buffer.concat(parts),
          isDropped: false,
        };
        request.socket.once("close", () => call.isDropped = true);
        if (running >= slots && waiting.length >= QUEUE_LENGTH) {
          response.writeHead(503, { "x-not-run": "1", "x-attempt-id": id });
          response.end();
          return;
        }
        waiting.push(call);
        startNext();
      });
    },
  );
  server.on("connection", (socket) => {
    socket.setMaxListeners(0);
    if (isHanging && successor === undefined) {
      oldSockets.add(socket);
    }
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  let boundPort = port;
  if (predecessor === undefined) {
    await new Promise((resolve, reject) => {
      server.listen(port, ADDRESS, resolve);
      server.once("error", reject);
    });
    boundPort = server.address().port;
  } else {
    boundPort = predecessor.port;
    predecessor.handOver((request, response) =>
      server.emit("request", request, response)
    );
  }
  const address = `${ADDRESS}:${boundPort}`;
  const heartbeats = createHeartbeats({
    control,
    identity,
    born,
    describe: () => ({ service, addr: address, zone, version, slots }),
  });
  if (wantsHeartbeats) {
    await heartbeats.beat("ready");
  } else {
    heartbeats.stop();
  }
  return {
    identity,
    service,
    address,
    port: boundPort,
    heartbeats,
    get running() {
      return running;
    },
    /** Falls silent: it answers nothing more and sends no heartbeats. */
    hang() {
      isHanging = true;
      heartbeats.stop();
      for (const socket of sockets) {
        oldSockets.add(socket);
      }
    },
    /** After `hang`: another instance accepts new connections at the address; the old ones stay silent. */
    handOver(handle) {
      successor = handle;
    },
    close() {
      heartbeats.stop();
      server.closeAllConnections();
      if (predecessor !== undefined) {
        return Promise.resolve();
      }
      return new Promise((resolve) => server.close(resolve));
    },
  };
}

export function seal(id, identity) {
  return `${identity}.${id}`;
}

export function writeAnswer(response, { id, identity, running, slots }) {
  const body = JSON.stringify({ id, identity });
  response.writeHead(200, {
    "x-attempt-id": id,
    "x-server-seal": seal(id, identity),
    "x-instance-load": `${running},0,${slots}`,
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Writes a whole answer in which one byte of a header value is spoiled, and ends the connection. */
export function writeSpoiledAnswer(socket, { id, identity }) {
  const body = JSON.stringify({ id, identity });
  socket.end(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Seal: ${
      seal(id, identity)
    }\r\nDate: Sat, 05 Dec\0 2026 12:00:00 GMT\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    "latin1",
  );
}
