// Stand-in for an application instance: it runs requests, counts the runs, and sends pings to its daemon.
import http from "node:http";

export async function startInstance(options) {
  const { id, service, zone, control, address = "127.0.0.1", slots = 20,
    version = "v1", workMs = 5, beatMs = 500, onRun = () => {}, answer } = options;
  const born = Date.now();
  let sequence = 0;
  let state = "ready";
  let running = 0;
  let timer;
  const server = http.createServer((request, response) => {
    request.on("error", () => {});
    response.on("error", () => {});
    const attempt = request.headers["x-attempt-id"] ?? "";
    const expected = request.headers["x-expect-instance"];
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      const reply = (status, headers, body = "") => {
        const bytes = Buffer.from(body);
        response.writeHead(status, {
          "x-attempt-id": attempt,
          "content-length": bytes.length,
          ...headers,
        });
        response.end(bytes);
      };
      if (expected !== undefined && expected !== id) {
        reply(421, { "x-instance-id": id });
        return;
      }
      if (attempt === "") {
        reply(400, { "x-not-run": "1" });
        return;
      }
      if (running >= slots) {
        reply(503, { "x-not-run": "1" });
        return;
      }
      running += 1;
      onRun({ id, attempt, request, body: Buffer.concat(chunks) });
      if (answer?.({ attempt, request, response, reply, done: () => running -= 1 })) {
        return;
      }
      setTimeout(() => {
        running -= 1;
        reply(200, { "x-server-seal": `${id}.${attempt}` }, `ran ${attempt}`);
      }, workMs);
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(0, address, resolve));
  const addr = `${address}:${server.address().port}`;

  function call(method, document) {
    return new Promise((resolve) => {
      const body = Buffer.from(JSON.stringify(document));
      const outgoing = http.request(`http://${control}/instances/${id}`, {
        method,
        agent: false,
        timeout: 1_000,
        headers: {
          "content-type": "application/json",
          "content-length": body.length,
        },
      }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      outgoing.on("timeout", () => outgoing.destroy(new Error("late")));
      outgoing.on("error", () => resolve(0));
      outgoing.end(body);
    });
  }
  // A ping as it is sent now; a test may hold it back and send it later.
  function createPing(newState = state) {
    state = newState;
    sequence += 1;
    return { service, addr, zone, version, slots, state, cold_left_s: 0, seq: sequence, born };
  }
  timer = setInterval(() => void call("PUT", createPing()), beatMs);
  void call("PUT", createPing());
  return {
    addr,
    id,
    born,
    createPing,
    sendPing: (ping = createPing()) => call("PUT", ping),
    drain: () => call("PUT", createPing("draining")),
    leave() {
      clearInterval(timer);
      return call("DELETE", { born });
    },
    pausePings: () => clearInterval(timer),
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
