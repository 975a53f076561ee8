/**
 * A first configuration source: every daemon reads the platform log and applies what is well
 * formed. The fold and the distribution features replace it.
 *
 * @module
 */

import type { Clock } from "../../base/common/clock.ts";
import { startTask, waitFor } from "../../base/common/channel.ts";
import { createEmitter } from "../../base/common/emitter.ts";
import type { EventLog } from "../../base/common/event_log.ts";
import { decodeMessage } from "../../base/node/message_codec.ts";
import {
  type Configuration,
  EMPTY_CONFIGURATION,
} from "../../world/common/configuration.ts";
import type { LogEntry, LogRecord } from "../../world/common/log_record.ts";
import type { ConfigurationSource } from "../../features/distribution/common/configuration_source.ts";
import type { RecordVerdict } from "../../features/fold/common/fold.ts";
import type { LogClient } from "../../features/log/common/log_client.ts";

const POLL_WAIT_MS = 5_000;
const RETRY_DELAY_MS = 500;

export function createThinConfigurationSource(
  { logClient, clock, log }: {
    readonly logClient: LogClient;
    readonly clock: Clock;
    readonly log: EventLog;
  },
): ConfigurationSource {
  const changed = createEmitter<Configuration>();
  const verdicts = new Map<string, RecordVerdict>();
  let current = EMPTY_CONFIGURATION;
  let position = 0;
  let isReady = false;
  let disposed = false;

  function apply(entry: LogEntry): void {
    position = entry.offset + 1;
    const decoded = decodeMessage(entry.record, "fold.decode");
    if (decoded.err) {
      log.write("warn", "configuration.refused", { offset: entry.offset });
      return;
    }
    const record = decoded.val as LogRecord;
    const identity = record.kind === "verdict" ? record.move : record.identity;
    current = applyRecord(current, record, entry);
    verdicts.set(identity, {
      status: "accepted",
      reason: "",
      offset: entry.offset,
    });
    log.write("info", "configuration.applied", { version: current.version });
    changed.fire(current);
  }

  startTask("configuration.read", function* () {
    while (!disposed) {
      const page = yield* waitFor(
        logClient.read("configuration", position, {
          waitMilliseconds: isReady ? POLL_WAIT_MS : 0,
        }),
      );
      if (page.err) {
        log.write("warn", "log.read-failed", { reason: page.val.message });
        yield* waitFor(clock.sleep(RETRY_DELAY_MS));
        continue;
      }
      page.val.entries.forEach(apply);
      isReady ||= position >= page.val.next;
    }
  }, {
    onError: (error) =>
      log.write("error", "configuration.failed", { reason: error.message }),
  });

  return {
    get current() {
      return current;
    },
    get position() {
      return position;
    },
    get isReady() {
      return isReady;
    },
    onChanged: changed.event,
    findVerdict: (identity) => verdicts.get(identity),
    dispose() {
      disposed = true;
      changed.dispose();
    },
  };
}

function applyRecord(
  before: Configuration,
  record: LogRecord,
  entry: LogEntry,
): Configuration {
  const version = entry.offset;
  switch (record.kind) {
    case "change": {
      const {
        failureDomains = [],
        services = [],
        routes = [],
        contracts = [],
      } = record.upsert;
      return {
        ...before,
        version,
        failureDomains: new Set([...before.failureDomains, ...failureDomains]),
        services: new Map([
          ...before.services,
          ...services.map((service) => [service.name, service] as const),
        ]),
        routes: new Map([
          ...before.routes,
          ...routes.map((route) => [route.name, route] as const),
        ]),
        contracts: new Map([
          ...before.contracts,
          ...contracts.map((one) => [one.customer, one] as const),
        ]),
      };
    }
    case "move": {
      const move = {
        identity: record.identity,
        service: record.service,
        fromVersion: before.services.get(record.service)?.version ?? "",
        toVersion: record.toVersion,
        startedAt: entry.appendedAt,
        deadlineAt: record.deadlineAt,
        outcome: "open" as const,
        reason: "",
      };
      return {
        ...before,
        version,
        moves: new Map([...before.moves, [move.identity, move]]),
      };
    }
    case "verdict": {
      const move = before.moves.get(record.move);
      if (move === undefined || move.outcome !== "open") {
        return before;
      }
      const closed = {
        ...move,
        outcome: record.outcome,
        reason: record.reason,
      };
      const services = new Map(before.services);
      if (record.outcome === "done") {
        services.set(move.service, {
          name: move.service,
          version: move.toVersion,
        });
      }
      return {
        ...before,
        version,
        services,
        moves: new Map([...before.moves, [move.identity, closed]]),
      };
    }
  }
}
