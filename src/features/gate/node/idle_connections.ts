/**
 * Connections to the instance that are kept for further calls.
 *
 * @module
 */

import { parseEndpoint } from "../../../base/common/endpoint.ts";
import type { Clock } from "../../../base/common/clock.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { InstanceReport } from "../../../world/common/mesh_instance.ts";
import type { MeshHeaders } from "../common/mesh_headers.ts";
import { createResponseBufferBudget } from "../common/response_buffer_budget.ts";
import {
  createInstanceConnection,
  type InstanceConnection,
} from "./instance_connection.ts";

export interface IdleConnections {
  /** Returns an idle connection, or a new one. */
  take(instance: InstanceReport, now: Milliseconds): InstanceConnection;
  /** Keeps a connection for further calls. */
  add(connection: InstanceConnection): void;
  closeAll(): void;
}

export function createIdleConnections(
  { clock, headers }: {
    readonly clock: Clock;
    readonly headers: MeshHeaders;
  },
): IdleConnections {
  const idle: InstanceConnection[] = [];
  const responseBuffers = createResponseBufferBudget();

  function open(instance: InstanceReport): InstanceConnection {
    const connection: InstanceConnection = createInstanceConnection({
      ...parseEndpoint(instance.address),
      clock,
      identityHeader: headers.requestIdentity,
      budget: responseBuffers,
      onClosed() {
        const index = idle.indexOf(connection);
        if (index >= 0) {
          idle.splice(index, 1);
        }
      },
    });
    return connection;
  }

  return {
    take(instance, now) {
      for (
        let next = idle.pop();
        next !== undefined;
        next = idle.pop()
      ) {
        if (next.isReusable(now)) {
          return next;
        }
        next.dispose();
      }
      return open(instance);
    },
    add: (connection) => void idle.push(connection),
    closeAll() {
      for (const connection of idle.splice(0)) {
        connection.dispose();
      }
    },
  };
}

export function isSameStart(
  left: InstanceReport | undefined,
  right: InstanceReport,
): boolean {
  return left?.identity === right.identity &&
    left.startedAt === right.startedAt;
}

/** Whether a connection that was opened to one also reaches the other. */
export function isSameEndpoint(
  left: InstanceReport | undefined,
  right: InstanceReport | undefined,
): boolean {
  return right !== undefined && isSameStart(left, right) &&
    left!.address === right.address;
}
