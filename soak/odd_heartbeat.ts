/**
 * Heartbeats of a writer that is no instance of the deployment.
 *
 * @module
 */

import { request } from "node:http";
import type { Disposable } from "../src/base/common/disposable.ts";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

const INTERVAL_MS: Milliseconds = 1_300;

/**
 * Sends a daemon well-formed heartbeats of a service that no configuration names, by turns under an identity of its own
 * and under that of the instance, ready and draining.
 */
export function startOddHeartbeats(
  heartbeats: string,
  instanceName: () => string,
): Disposable {
  let sequence = 0;
  const timer = setInterval(() => {
    sequence += 1;
    const identity = sequence % 2 === 0 ? instanceName() : "odd";
    const body = JSON.stringify({
      service: "unknown",
      addr: "127.0.0.1:9",
      zone: "domain-0",
      version: "v1",
      slots: 4,
      state: sequence % 4 < 2 ? "ready" : "draining",
      cold_left_s: 0,
      seq: 1_000_000 + sequence,
      born: Date.now(),
    });
    const outgoing = request(`http://${heartbeats}/instances/${identity}`, {
      method: "PUT",
      headers: { "content-length": Buffer.byteLength(body) },
    }, (response) => response.resume());
    // The daemon may not be running.
    outgoing.on("error", () => {});
    outgoing.end(body);
  }, INTERVAL_MS);
  return { dispose: () => clearInterval(timer) };
}
