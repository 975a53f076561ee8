/**
 * The endpoints of the administration API.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import {
  type MoveRecord,
  RECORD_SCHEMA_VERSION,
} from "../../../world/common/log_record.ts";
import {
  findMissingChangeRight,
  findMissingMoveRight,
} from "../common/change_rights.ts";
import { describeMove, describeVerdict } from "../common/descriptions.ts";
import {
  announcementSchema,
  changeDocumentSchema,
  type MoveDocument,
  moveDocumentSchema,
  parseDocument,
} from "../common/documents.ts";
import type { AdministrationOptions } from "./administration.ts";
import {
  createErrorResponse,
  createPublishResponse,
  type Endpoint,
  type EndpointRequest,
  type EndpointResponse,
  type PublishContext,
} from "./endpoint.ts";
import { createEvacuationEndpoints } from "./evacuation_endpoints.ts";
import type { Publisher } from "./publisher.ts";

export function createEndpoints(
  options: AdministrationOptions,
  publisher: Publisher,
): Endpoint[] {
  return [
    {
      method: "POST",
      path: "/changes",
      access: "publish",
      handle: (request) => publishChange(request, { options, publisher }),
    },
    {
      method: "POST",
      path: "/moves",
      access: "publish",
      handle: (request) => publishMove(request, { options, publisher }),
    },
    {
      method: "POST",
      path: "/announcements",
      access: "local",
      handle: (request) => acceptAnnouncement(request, options),
    },
    ...createEvacuationEndpoints({ options, publisher }),
    ...createReadEndpoints(options),
  ];
}

function createReadEndpoints(options: AdministrationOptions): Endpoint[] {
  const { configuration, directory, metrics, self } = options;
  return [
    {
      method: "GET",
      path: "/changes/",
      access: "token",
      handle: ({ identity }) => showChange(identity, options),
    },
    {
      method: "GET",
      path: "/moves/",
      access: "token",
      handle: ({ identity }) => showMove(identity, options),
    },
    {
      method: "GET",
      path: "/members",
      access: "token",
      handle: () => ({
        status: 200,
        body: {
          self,
          localMembers: directory.localMembers,
          remoteMembers: directory.remoteMembers,
          instances: directory.instances,
        },
      }),
    },
    {
      method: "GET",
      path: "/ready",
      access: "open",
      handle: () => ({
        status: options.isReady() ? 200 : 503,
        body: {
          ready: options.isReady(),
          version: configuration.current.version,
        },
      }),
    },
    {
      method: "GET",
      path: "/metrics",
      access: "token",
      handle: () => ({ status: 200, text: metrics.format() }),
    },
    {
      method: "GET",
      path: "/events",
      access: "token",
      handle: ({ query }) => showEvents(query, options),
    },
  ];
}

async function publishChange(
  { body, token }: EndpointRequest,
  { options, publisher }: PublishContext,
): Promise<EndpointResponse> {
  const document = parseDocument(changeDocumentSchema, body);
  if (document.err) {
    return createErrorResponse(400, document.val);
  }
  const { current } = options.configuration;
  const { identity, baseVersion, upsert, remove } = document.val;
  const missingRight = findMissingChangeRight(token!, current, {
    upsert,
    remove,
  });
  if (missingRight !== undefined) {
    return createErrorResponse(403, missingRight);
  }
  return createPublishResponse(
    await publisher.publish({
      schema: RECORD_SCHEMA_VERSION,
      kind: "change",
      identity: identity ?? `change-${randomUUID()}`,
      baseVersion: baseVersion ?? current.version,
      author: token!.team,
      upsert,
      remove,
    }),
  );
}

async function publishMove(
  { body, token }: EndpointRequest,
  { options, publisher }: PublishContext,
): Promise<EndpointResponse> {
  const document = parseDocument(moveDocumentSchema, body);
  if (document.err) {
    return createErrorResponse(400, document.val);
  }
  const move = document.val;
  const { current } = options.configuration;
  const missingRight = findMissingMoveRight(token!, current, move.service);
  if (missingRight !== undefined) {
    return createErrorResponse(403, missingRight);
  }
  const now = options.clock.now();
  const record: MoveRecord = {
    schema: RECORD_SCHEMA_VERSION,
    kind: "move",
    identity: move.identity ?? `move-${randomUUID()}`,
    baseVersion: move.baseVersion ?? current.version,
    author: token!.team,
    service: move.service,
    toVersion: move.toVersion,
    deadlineAt: getDeadline(move, now),
  };
  // A repeated request gets the verdict on the first one, even after the deadline.
  const isRepeat =
    options.configuration.findVerdict(record.identity) !== undefined;
  const reason = isRepeat ? undefined : findMoveError(record, options, now);
  if (reason !== undefined) {
    return createPublishResponse({
      identity: record.identity,
      result: "refused",
      reason,
    });
  }
  return createPublishResponse(await publisher.publish(record));
}

function getDeadline(move: MoveDocument, now: Milliseconds): Milliseconds {
  return move.deadlineAt ?? now + (move.withinMilliseconds ?? 0);
}

/** The fold has no access to the announcements, so the daemon that receives the request checks them. */
function findMoveError(
  { service, toVersion, deadlineAt }: MoveRecord,
  { configuration, directory }: AdministrationOptions,
  now: Milliseconds,
): string | undefined {
  if (deadlineAt <= now) {
    return "the deadline is in the past";
  }
  const { evacuations } = configuration.current;
  const isAnnounced = directory.instances.some((instance) =>
    instance.service === service && instance.version === toVersion &&
    !evacuations.has(instance.failureDomain)
  );
  return isAnnounced
    ? undefined
    : `no upstream announces version ${toVersion} of service ${service}` +
      (evacuations.size > 0 ? " outside evacuated failure domains" : "");
}

function acceptAnnouncement(
  { body }: EndpointRequest,
  { directory, self }: AdministrationOptions,
): EndpointResponse {
  const document = parseDocument(announcementSchema, body);
  if (document.err) {
    return createErrorResponse(400, document.val);
  }
  const { address } = document.val;
  const ownAddress = self.addresses.address;
  if (
    address !== ownAddress && !(isLoopback(address) && isLoopback(ownAddress))
  ) {
    return createErrorResponse(
      403,
      `an upstream on this host has the address ${ownAddress}`,
    );
  }
  directory.announce(document.val);
  return { status: 200, body: { result: "accepted" } };
}

function isLoopback(address: string): boolean {
  return address === "::1" || address.startsWith("127.");
}

function showChange(
  identity: string,
  { configuration }: AdministrationOptions,
): EndpointResponse {
  const verdict = configuration.findVerdict(identity);
  const description = describeVerdict(identity, verdict);
  return verdict === undefined
    ? { status: 404, body: { identity, state: "not-found", description } }
    : {
      status: 200,
      body: {
        identity,
        state: verdict.status,
        reason: verdict.reason,
        offset: verdict.offset,
        description,
      },
    };
}

function showMove(
  identity: string,
  options: AdministrationOptions,
): EndpointResponse {
  const move = options.configuration.current.moves.get(identity);
  if (move === undefined) {
    return showChange(identity, options);
  }
  const split = options.shift?.splitOf(move.service);
  return {
    status: 200,
    body: {
      ...move,
      state: move.outcome,
      share: move.outcome === "open" ? split?.candidateShare : undefined,
      description: describeMove(move, split, options.clock.now()),
    },
  };
}

function showEvents(
  query: URLSearchParams,
  { events, self }: AdministrationOptions,
): EndpointResponse {
  const after = Number(query.get("after") ?? 0);
  return {
    status: 200,
    body: {
      host: self.process.host,
      failureDomain: self.failureDomain,
      process: self.process,
      events: events.filter((event) => event.at >= after),
    },
  };
}
