/**
 * The heartbeat that linked daemons send each other periodically. Its size does not depend on the
 * number of members.
 *
 * @module
 */

import type { ConfigurationVersion } from "../../../world/common/names.ts";
import type { LinkMessage } from "../../link/common/peer_network.ts";
import { areNumbers } from "./member_record.ts";

/** The configuration state that a daemon reports in its heartbeats. */
export interface AppliedConfiguration {
  readonly logPosition: number;
  readonly appliedVersion: ConfigurationVersion;
}

export interface Heartbeat extends AppliedConfiguration {
  readonly sequence: number;
  /** The highest version that any member has applied, as far as the sender knows. */
  readonly highestVersion: ConfigurationVersion;
  readonly memberDigest: number;
  readonly summaryDigest: number;
}

interface HeartbeatMessage extends LinkMessage {
  readonly body: readonly number[];
}

export const HEARTBEAT_KIND = "heartbeat";

export function encodeHeartbeat(heartbeat: Heartbeat): LinkMessage {
  const message: HeartbeatMessage = {
    kind: HEARTBEAT_KIND,
    body: [
      heartbeat.sequence,
      heartbeat.logPosition,
      heartbeat.appliedVersion,
      heartbeat.highestVersion,
      heartbeat.memberDigest,
      heartbeat.summaryDigest,
    ],
  };
  return message;
}

/** Decodes a heartbeat; undefined when it is not valid. */
export function decodeHeartbeat(message: LinkMessage): Heartbeat | undefined {
  const { body } = message as HeartbeatMessage;
  if (!Array.isArray(body) || body.length < 6 || !areNumbers(...body)) {
    return undefined;
  }
  const [sequence, logPosition, appliedVersion, highestVersion] = body;
  const [memberDigest, summaryDigest] = body.slice(4);
  return {
    sequence,
    logPosition,
    appliedVersion,
    highestVersion,
    memberDigest,
    summaryDigest,
  };
}
