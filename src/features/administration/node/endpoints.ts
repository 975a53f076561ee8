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
import { type AccessToken } from "../common/access_token.ts";
import {
  findMissingChangeRight,
  findMissingMoveRight,
} from "../common/change_rights.ts";
import {
  describeMove,
  describePublication,
  describeVerdict,
  type PublishResult,
  type PublishStatus,
} from "../common/descriptions.ts";
import {
  announcementSchema,
  changeDocumentSchema,
  type MoveDocument,
  moveDocumentSchema,
  parseDocument,
} from "../common/documents.ts";
import type { AdministrationOptions } from "./administration.ts";
import type { PublishedRecord, Publisher } from "./publisher.ts";

export interface EndpointRequest {
  readonly body: Uint8Array;
  readonly token: AccessToken | undefined;
  /** The last segment of a path such as `/changes/IDENTITY`. */
  readonly identity: string;
  readonly query: URLSearchParams;
}

export interface EndpointResponse {
  readonly status: number;
  readonly body?: unknown;
  /** Text that is sent instead of a JSON body. */
  readonly text?: string;
}

export interface Endpoint {
  readonly method: "GET" | "POST";
  /** A path that ends with `/` is followed by an identity. */
  readonly path: string;
  /**
   * `open` requires nothing, `token` a valid token, `publish` a token with the right to publish, `local` a
   * connection from this host.
   */
  readonly access: "open" | "token" | "publish" | "local";
  handle(
    request: EndpointRequest,
  ): EndpointResponse | Promise<EndpointResponse>;
}

const STATUS_BY_RESULT: Readonly<Record<PublishStatus, number>> = {
  "accepted": 200,
  "refused": 409,
  "unknown": 504,
  "not-run": 503,
};

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

interface PublishContext {
  readonly options: AdministrationOptions;
  readonly publisher: Publisher;
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
  return await publishRecord({
    schema: RECORD_SCHEMA_VERSION,
    kind: "change",
    identity: identity ?? `change-${randomUUID()}`,
    baseVersion: baseVersion ?? current.version,
    author: token!.team,
    upsert,
    remove,
  }, publisher);
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
  return await publishRecord(record, publisher);
}

function getDeadline(move: MoveDocument, now: Milliseconds): Milliseconds {
  return move.deadlineAt ?? now + (move.withinMilliseconds ?? 0);
}

/** The fold has no access to the announcements, so the daemon that receives the request checks them. */
function findMoveError(
  { service, toVersion, deadlineAt }: MoveRecord,
  { directory }: AdministrationOptions,
  now: Milliseconds,
): string | undefined {
  if (deadlineAt <= now) {
    return "the deadline is in the past";
  }
  const isAnnounced = directory.instances.some((instance) =>
    instance.service === service && instance.version === toVersion
  );
  return isAnnounced
    ? undefined
    : `no upstream announces version ${toVersion} of service ${service}`;
}

async function publishRecord(
  record: PublishedRecord,
  publisher: Publisher,
): Promise<EndpointResponse> {
  return createPublishResponse(await publisher.publish(record));
}

function createPublishResponse(result: PublishResult): EndpointResponse {
  return {
    status: STATUS_BY_RESULT[result.result],
    body: { ...result, description: describePublication(result) },
  };
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

function createErrorResponse(status: number, reason: string): EndpointResponse {
  return { status, body: { result: "refused", reason } };
}
