/**
 * The endpoints for evacuating failure domains and taking them back.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type EvacuationRecord,
  RECORD_SCHEMA_VERSION,
} from "../../../world/common/log_record.ts";
import { findMissingEvacuationRight } from "../common/change_rights.ts";
import {
  evacuationDocumentSchema,
  parseDocument,
} from "../common/documents.ts";
import {
  describeFailureDomains,
  describeOrder,
  findUnservedService,
  type KnownState,
  listFailureDomains,
} from "../common/evacuation_orders.ts";
import type { PublishResult } from "../common/descriptions.ts";
import type { AdministrationOptions } from "./administration.ts";
import {
  createErrorResponse,
  createPublishResponse,
  type Endpoint,
  type EndpointRequest,
  type EndpointResponse,
  type PublishContext,
} from "./endpoint.ts";

export function createEvacuationEndpoints(context: PublishContext): Endpoint[] {
  return [
    {
      method: "POST",
      path: "/evacuations",
      access: "publish",
      handle: (request) => publishOrder(request, context),
    },
    {
      method: "GET",
      path: "/evacuations",
      access: "token",
      handle: () => showFailureDomains(context.options),
    },
  ];
}

async function publishOrder(
  { body, token }: EndpointRequest,
  context: PublishContext,
): Promise<EndpointResponse> {
  const document = parseDocument(evacuationDocumentSchema, body);
  if (document.err) {
    return createErrorResponse(400, document.val);
  }
  const missingRight = findMissingEvacuationRight(token!);
  if (missingRight !== undefined) {
    return createErrorResponse(403, missingRight);
  }
  const { identity, baseVersion, failureDomain, action } = document.val;
  const record: EvacuationRecord = {
    schema: RECORD_SCHEMA_VERSION,
    kind: "evacuation",
    identity: identity ?? `${action}-${randomUUID()}`,
    baseVersion: baseVersion ?? context.options.configuration.current.version,
    author: token!.team,
    failureDomain,
    action,
  };
  const result = await checkAndPublish(record, context);
  return createPublishResponse(result, describeOrder(record, result));
}

async function checkAndPublish(
  record: EvacuationRecord,
  { options, publisher }: PublishContext,
): Promise<PublishResult> {
  const { configuration } = options;
  // A repeated request gets the verdict on the first one, also when instances have gone since. Without a current
  // configuration, the publisher answers.
  const isChecked = configuration.isReady &&
    configuration.findVerdict(record.identity) === undefined;
  const reason = isChecked
    ? findUnservedService(record, readKnownState(options))
    : undefined;
  if (reason === undefined) {
    return await publisher.publish(record);
  }
  const { identity, author, failureDomain } = record;
  options.log.write("info", "evacuation.refused", {
    change: identity,
    author,
    evacuated: failureDomain,
    reason,
  });
  return { identity, result: "refused", reason };
}

function showFailureDomains(options: AdministrationOptions): EndpointResponse {
  const { configuration } = options;
  const failureDomains = listFailureDomains(readKnownState(options));
  return {
    status: 200,
    body: {
      version: configuration.current.version,
      ready: configuration.isReady,
      failureDomains,
      description: describeFailureDomains(
        failureDomains,
        configuration.isReady,
      ),
    },
  };
}

function readKnownState(
  { configuration, directory }: AdministrationOptions,
): KnownState {
  return {
    configuration: configuration.current,
    instances: directory.instances,
  };
}
