/**
 * Measures the latency that the proxy adds to a call on loopback.
 *
 * @module
 */

import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  createProxyFixture,
  FIXTURE_CUSTOMER,
  LOOPBACK,
} from "./proxy_fixture.ts";

const MICROSECONDS_PER_MS = 1_000;

export interface LatencyOptions {
  readonly calls: number;
  /** Calls before the measurement, during which the code is JIT-compiled. */
  readonly warmUpCalls: number;
  /** The number of concurrent callers, each with one call in flight. */
  readonly callers: number;
}

export const DEFAULT_LATENCY_OPTIONS: LatencyOptions = {
  calls: 20_000,
  warmUpCalls: 5_000,
  callers: 1,
};

export interface LatencyQuantiles {
  readonly p50: Milliseconds;
  readonly p99: Milliseconds;
}

export interface LatencyMeasure {
  readonly direct: LatencyQuantiles;
  readonly proxied: LatencyQuantiles;
  /** The differences between the quantiles with and without the proxy. */
  readonly added: LatencyQuantiles;
}

/**
 * Measures calls to a small upstream, directly and through a proxy in the same process. The result
 * is an upper bound, because the caller, the proxy and the upstream share one thread.
 */
export async function measureLatency(
  options: LatencyOptions = DEFAULT_LATENCY_OPTIONS,
): Promise<LatencyMeasure> {
  const server = createServer((incoming, response) => {
    incoming.resume();
    response.writeHead(200, { "content-length": 2 });
    response.end("ok");
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  const fixture = await createProxyFixture({ ports: [port] });
  const agent = new Agent({ keepAlive: true });
  try {
    const targets = { direct: port, proxied: fixture.listener.port };
    await runCalls(targets.direct, agent, {
      ...options,
      calls: options.warmUpCalls,
    });
    await runCalls(targets.proxied, agent, {
      ...options,
      calls: options.warmUpCalls,
    });
    const direct = quantilesOf(await runCalls(targets.direct, agent, options));
    const proxied = quantilesOf(
      await runCalls(targets.proxied, agent, options),
    );
    return {
      direct,
      proxied,
      added: { p50: proxied.p50 - direct.p50, p99: proxied.p99 - direct.p99 },
    };
  } finally {
    agent.destroy();
    await fixture.close();
    server.closeAllConnections();
    server.close();
  }
}

async function runCalls(
  port: number,
  agent: Agent,
  options: LatencyOptions,
): Promise<Histogram> {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  let left = options.calls;
  await Promise.all(Array.from({ length: options.callers }, async () => {
    while (left > 0) {
      left -= 1;
      const startedAt = performance.now();
      await call(port, agent);
      const duration = performance.now() - startedAt;
      histogram.recordValue(Math.ceil(duration * MICROSECONDS_PER_MS));
    }
  }));
  return histogram;
}

function call(port: number, agent: Agent): Promise<void> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: LOOPBACK,
      port,
      agent,
      path: "/units/1",
      headers: { "guavarun-customer": FIXTURE_CUSTOMER },
    }, (incoming) => {
      incoming.resume();
      incoming.once("end", resolve);
    });
    outgoing.once("error", reject);
    outgoing.end();
  });
}

function quantilesOf(histogram: Histogram): LatencyQuantiles {
  return {
    p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}
