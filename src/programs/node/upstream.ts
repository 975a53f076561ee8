/**
 * Runs the stand-in for an upstream as a program.
 *
 * @module
 */

import * as valibot from "valibot";
import { hashText } from "../../base/common/hashing.ts";
import { createRandomSource } from "../../base/common/random_source.ts";
import { BEHAVIOUR_SCHEMA } from "../common/upstream_behaviour.ts";
import type { UpstreamSettings } from "../common/upstream_settings.ts";
import type { RunningServer, StartOptions } from "./process_starters.ts";
import { startUpstreamStandIn } from "./upstream_stand_in.ts";

export async function startUpstream(
  settings: UpstreamSettings,
  { log }: StartOptions,
): Promise<RunningServer> {
  const { address, administrationPort, failureShare } = settings;
  const upstream = await startUpstreamStandIn({
    ...settings,
    serviceMilliseconds: settings.workMilliseconds,
    administration: `http://${address}:${administrationPort}`,
    behaviour: valibot.parse(BEHAVIOUR_SCHEMA, {
      fault: failureShare > 0 ? "fail" : "none",
      share: failureShare,
    }),
  }, {
    log,
    random: createRandomSource(hashText(`${address}:${settings.port}`) | 0),
  });
  log.write("info", "upstream.listening", {
    service: settings.service,
    serviceVersion: settings.version,
    port: upstream.port,
  });
  return { port: upstream.port, stop: () => upstream.drain() };
}
