// Stand-in for the platform's store: the calls of PROTOCOL.md that daemons use, in memory.
import http from "node:http";

export async function startStore({ address = "127.0.0.1" } = {}) {
  const topics = new Map();
  const waiting = new Set();
  let era;
  let refuse = () => false;

  function topicOf(name) {
    if (!topics.has(name)) topics.set(name, { log: [] });
    return topics.get(name);
  }
  function add(name, record) {
    const topic = topicOf(name);
    topic.log.push({ record, at: Date.now() });
    for (const wake of [...waiting]) wake();
    return topic.log.length - 1;
  }
  function newest(name) {
    const found = new Map();
    topicOf(name).log.forEach(({ record }, offset) => {
      const end = 1 + record[0];
      const key = record.toString("utf8", 1, end);
      if (record.length === end) found.delete(key);
      else found.set(key, { offset, value: record.subarray(end) });
    });
    return found;
  }
  function encode(key, value) {
    const bytes = Buffer.from(key);
    return Buffer.concat([Buffer.from([bytes.length]), bytes, value]);
  }
  function send(response, status, document) {
    const body = Buffer.isBuffer(document)
      ? document
      : Buffer.from(JSON.stringify(document));
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": body.length,
      ...(era === undefined ? {} : { "store-era": String(era) }),
    });
    response.end(body);
  }
  function readPage(topic, from) {
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.log.length), 0);
    const parts = [head];
    for (const { record } of topic.log.slice(from)) {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    return Buffer.concat(parts);
  }

  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on("error", () => {});
    response.on("error", () => {});
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", async () => {
      const url = new URL(request.url, "http://store");
      const query = url.searchParams;
      const name = query.get("topic") ?? "";
      const topic = topicOf(name);
      const body = Buffer.concat(chunks);
      if (refuse({ path: url.pathname, topic: name })) {
        send(response, 503, { error: "busy" });
        return;
      }
      if (url.pathname === "/log-append") {
        if (name === "keyed.op" || name === "keyed.servers") {
          send(response, 403, {});
          return;
        }
        const at = query.get("at");
        if (at !== null && Number(at) !== topic.log.length) {
          send(response, 412, { end_offset: topic.log.length });
          return;
        }
        const offset = topic.log.length;
        for (let position = 0; position < body.length;) {
          const end = position + 4 + body.readUInt32BE(position);
          add(name, Buffer.from(body.subarray(position + 4, end)));
          position = end;
        }
        send(response, 200, { offset, end_offset: topic.log.length });
      } else if (url.pathname === "/log-newest") {
        const after = query.get("after");
        const all = newest(name);
        const keys = [...all.keys()].sort()
          .filter((key) => after === null || key > after);
        send(response, 200, {
          items: keys.slice(0, 500).map((key) => ({
            key,
            value: all.get(key).value.toString("base64"),
            offset: all.get(key).offset,
          })),
          has_more: keys.length > 500,
          end_offset: topic.log.length,
        });
      } else if (url.pathname === "/log-read") {
        const from = Number(query.get("from"));
        const wait = Math.min(30_000, Number(query.get("wait_ms") ?? 0));
        if (from >= topic.log.length && wait > 0) {
          const until = Date.now() + wait;
          while (
            from >= topic.log.length && Date.now() < until &&
            !response.destroyed
          ) {
            await new Promise((resolve) => {
              const wake = () => {
                clearTimeout(timer);
                waiting.delete(wake);
                resolve();
              };
              const timer = setTimeout(wake, until - Date.now());
              waiting.add(wake);
            });
          }
        }
        if (from > topic.log.length) send(response, 410, { first_offset: 0 });
        else send(response, 200, readPage(topic, from));
      } else {
        send(response, 404, {});
      }
    });
  });
  await new Promise((resolve) => server.listen(0, address, resolve));
  return {
    address: `${address}:${server.address().port}`,
    // Writes a record as the operator does.
    write: (name, key, document) =>
      add(name, encode(key, Buffer.from(JSON.stringify(document)))),
    get: (name, key) => {
      const found = newest(name).get(key);
      return found && JSON.parse(found.value.toString());
    },
    setRefusal: (predicate) => refuse = predicate,
    // Comes back from the copy of the time `copiedAt`; what was written since is gone.
    rewind(copiedAt) {
      for (const topic of topics.values()) {
        topic.log = topic.log.filter(({ at }) => at <= copiedAt);
      }
      era = (era ?? 0) + 1;
      for (const wake of [...waiting]) wake();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
