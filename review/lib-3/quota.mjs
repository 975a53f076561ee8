// Two daemons to a failure domain, five domains. One account asks for several times its limit while some domains are
// cut off from each other. The check is QUOTA of RULES.md: no span of `quota_window_s` may have more requests of the
// account that were both sent and run in it than (rate_per_s x window + burst) x (1 + quota_excess) + quota_slack.
import fs from "node:fs";
import http from "node:http";
import path from "node:path";
import { call, endAll, planDaemon, sleep, waitUntilReady } from "./fleet.mjs";
import { startInstance } from "./instance.mjs";
import { startLinkProxy } from "./links.mjs";
import { startStore } from "./store.mjs";

const WINDOW_S = 5;
const EXCESS = 0.1;
const SLACK = 20;

export async function runQuota({ directory, account, ratePerS = 60, burst = 10, demandPerS, cutSeconds, separates = () => false, disturb, isTrouble }) {
  const record = [];
  const startedAt = Date.now();
  const note = (text) => record.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
  const finish = (code, text) => {
    note(text);
    fs.writeFileSync(path.join(directory, "record.txt"), record.join("\n") + "\n");
    console.log(text);
    endAll();
    process.exit(code);
  };
  try {
    const store = await startStore();
    store.write("keyed.op", "config", {
      version: "r1",
      limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 },
      tenants: [{ name: account, api_keys: ["key-of-the-account"], prio: 1, rate_per_s: ratePerS, burst }],
      listeners: [{ host: "tally.example", rules: [{
        name: "read", kind: "safe", goal_s: 0.4, prio: 1, public: false,
        match: { prefix: "/read/" }, action: { service: "front", timeout_s: 1.5, attempts: 2 },
      }] }],
      clusters: [{ name: "front", health_path: "/healthz", max_conns: 570, proto: "h1", tls: false }],
    });
    const zones = ["za", "zb", "zc", "zd", "ze"];
    const hosts = zones.flatMap((zone) => [`${zone}-1`, `${zone}-2`]);
    let cut = false;
    const isCut = (left, right) => cut && separates(left.slice(0, 2), right.slice(0, 2));
    const daemons = [];
    for (const [index, host] of hosts.entries()) {
      const address = `127.0.7.${index + 1}`;
      const daemon = await planDaemon({ host, zone: host.slice(0, 2), service: "front", store: store.address, address });
      const proxy = await startLinkProxy({ host, target: daemon.link, address, hosts, isCut });
      daemon.settings.announcedLink = proxy.endpoint;
      daemons.push(daemon);
    }
    const sentAt = new Map();
    const runs = [];
    for (const daemon of daemons) {
      await startInstance({
        id: `i-${daemon.host}`, service: "front", zone: daemon.zone,
        control: daemon.settings.listen.heartbeats, address: daemon.settings.address,
        onRun({ attempt, request }) {
          runs.push({ attempt, at: Date.now(), host: daemon.host });
          note(`run ${attempt} at ${daemon.host} for ${request.headers["x-tenant"]}`);
        },
      });
      daemon.start();
    }
    await waitUntilReady(daemons);
    note("all daemons are ready");
    // The daemons have been running for longer than any start-up rule lasts.
    await sleep(13_000);
    const agent = new http.Agent({ keepAlive: true });
    let isSending = true;
    const demand = { perS: demandPerS };
    const answers = new Map();
    const senders = daemons.map(async (daemon, index) => {
      await sleep(index * 1_000 / demandPerS);
      for (let number = 0; isSending; number += 1) {
        const attempt = `${daemon.host}.${number}`;
        sentAt.set(attempt, Date.now());
        note(`sent ${attempt} to ${daemon.host}`);
        void call(daemon.settings.listen.calls, {
          path: `/read/${number}`, host: "tally.example", attempt, key: "key-of-the-account", agent,
        }).then(({ status }) => {
          answers.set(status, (answers.get(status) ?? 0) + 1);
          note(`answered ${attempt} ${status}`);
        });
        await sleep(1_000 * daemons.length / demand.perS);
      }
    });
    await sleep(3_000);
    if (disturb !== undefined) {
      await disturb({ daemons, store, note, isTrouble, demand, setCut: (value) => cut = value });
    } else {
      note(isTrouble ? "cut begins" : "no cut");
      cut = isTrouble;
      await sleep(cutSeconds * 1_000);
      cut = false;
      note(isTrouble ? "cut ends" : "no cut");
    }
    isSending = false;
    await Promise.all(senders);
    await sleep(1_500);
    const limit = (ratePerS * WINDOW_S + burst) * (1 + EXCESS) + SLACK;
    // Both sent and run in the window.
    const both = runs.map(({ attempt, at }) => ({ from: sentAt.get(attempt), to: at }))
      .sort((left, right) => left.to - right.to);
    let most = 0, mostAt = 0;
    for (const { from: start } of [...both].sort((l, r) => l.from - r.from)) {
      const count = both.filter(({ from, to }) => from >= start && to <= start + WINDOW_S * 1_000).length;
      if (count > most) { most = count; mostAt = start; }
    }
    note(`answers ${[...answers].map(([status, count]) => `${status}: ${count}`).join(", ")}`);
    const at = ((mostAt - startedAt) / 1_000).toFixed(1);
    finish(most > limit ? 1 : 0,
      `${most > limit ? "QUOTA broken" : "QUOTA held"}: at most ${most} requests in ${WINDOW_S} s (from ${at} s on), allowed ${limit}`);
  } catch (error) {
    finish(2, `the case could not run: ${error.stack}`);
  }
}
