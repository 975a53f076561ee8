// Case 7: one ping that names no known service shuts the instance of a machine out for good. After the final fault, nothing is
// served any more.
import { request } from "node:http";
import { call, configuration, runCase, sleep } from "../lib-2/mesh.mjs";

/** The bound of the small deployments, and an allowance for this script's own delays. */
const RECOVER_MS = 15_000;
const MARGIN_MS = 1_000;
const DOWN_MS = 1_000;

function sendOddPing(control, record) {
  const id = "i-02d9e6b4";
  // A service that no configuration names; otherwise as on the page. Nothing listens at the address.
  const body = JSON.stringify({
    service: "wuno96b",
    addr: "127.0.0.1:9",
    zone: "sagana",
    version: "v1",
    slots: 12,
    state: "ready",
    cold_left_s: 0,
    seq: 1,
    born: Date.now(),
  });
  return new Promise((resolve) => {
    const outgoing = request(`http://${control}/instances/${id}`, {
      method: "PUT",
      headers: {
        "content-type": "application/json",
        "content-length": body.length,
      },
    }, (response) => {
      response.resume();
      record("odd-ping", {
        to: control,
        id,
        service: "wuno96b",
        status: response.statusCode,
      });
      resolve();
    });
    outgoing.on("error", (error) => {
      record("odd-ping", { to: control, error: error.code });
      resolve();
    });
    outgoing.end(body);
  });
}

await runCase(import.meta.url, async ({ record, hasTrouble, ...mesh }) => {
  const store = await mesh.store();
  const write = (version, timeout) => {
    store.write(
      "keyed.op",
      "config",
      configuration(version, [
        { name: "heat", kind: "safe", service: "bib", goal: 0.4, timeout },
        {
          name: "assign",
          kind: "unsafe",
          service: "bib",
          goal: 0.5,
          timeout: 1.2,
        },
        {
          name: "standings",
          kind: "safe",
          service: "results",
          goal: 0.15,
          timeout: 0.4,
        },
      ]),
    );
    record("configuration-acknowledged", { version: `r${version}` });
  };
  write(7, 1);
  const machines = [];
  for (
    const [index, service] of ["bib", "bib", "bib", "results", "results"]
      .entries()
  ) {
    machines.push(
      await mesh.machine({
        node: `sidecar-${index + 1}`,
        zone: ["sagana", "thika"][index % 2],
        service,
        store,
      }),
    );
  }
  await sleep(1_500);
  const instances = [];
  for (const machine of machines) {
    instances.push(
      await mesh.instance({
        id: `i-${machine.node}`,
        service: machine.service,
        zone: machine.zone,
        heartbeats: machine.heartbeats,
        serve: () => ({ work: 40 }),
        onRun: ({ attempt, instance }) => record("run", { attempt, instance }),
      }),
    );
  }
  for (const machine of machines) {
    await machine.waitUntilReady();
  }
  await sleep(1_500);

  let number = 0;
  async function sendRequests(duration) {
    const pending = [];
    const until = performance.now() + duration;
    while (performance.now() < until) {
      for (const machine of machines) {
        number += 1;
        const attempt = (0xb2000000 + number).toString(16);
        const path = ["/heat/1", "/assign/1", "/standings/1"][number % 3];
        pending.push(
          call(machine.calls, {
            path,
            method: path.startsWith("/assign") ? "POST" : "GET",
            attempt,
            deadline: 1_000,
            body: path.startsWith("/assign") ? Buffer.from("boat") : undefined,
          }).then((answer) => {
            record("answered", {
              attempt,
              path,
              to: machine.node,
              status: answer.status,
            });
            return answer.status === 200;
          }),
        );
      }
      await sleep(60);
    }
    const served = await Promise.all(pending);
    return {
      sent: served.length,
      served: served.filter((each) => each).length,
    };
  }

  const before = await sendRequests(3_000);
  record("before", before);
  // The final fault: all processes are killed right after a configuration was acknowledged.
  write(19, 1.1);
  for (const machine of machines) {
    machine.signal("SIGKILL");
  }
  await Promise.all(machines.map((machine) => machine.waitForExit(2_000)));
  record("all-killed");
  await sleep(DOWN_MS);
  for (const machine of machines) {
    machine.start();
  }
  for (const machine of machines) {
    await machine.waitUntilReady();
  }
  record("all-back");
  const backAt = performance.now();
  await sleep(2_000);
  if (hasTrouble) {
    await Promise.all(
      machines.map((machine) => sendOddPing(machine.heartbeats, record)),
    );
  }
  await sleep(backAt + RECOVER_MS + MARGIN_MS - performance.now());
  const after = await sendRequests(6_000);
  record("after", after);
  const wasServed = before.served >= before.sent / 4;
  if (!wasServed) {
    throw new Error("Too few requests were served before the fault");
  }
  return after.served >= after.sent / 4;
});
