/**
 * Buffers the whole body of a request.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { BodyReservation } from "../common/request_body_budget.ts";

/** Bodies from this length on are read into one buffer, so that they are never held twice. */
const MINIMUM_PREALLOCATED_BYTES = 1024 * 1024;

export interface BodyReaderOptions {
  readonly limit: number;
  /** Grows with the body; the caller disposes of it when the body is no longer used. */
  readonly reservation: BodyReservation;
  readonly onBody: (body: Buffer) => void;
  /** Called when the body exceeds the limit. The rest of the request is discarded. */
  readonly onTooLong: () => void;
  /** Called when the body does not fit into the memory budget. The rest of the request is discarded. */
  readonly onNoMemory: () => void;
  /** Called when the connection ends before the body is complete. */
  readonly onAborted: () => void;
}

/** Collects the chunks of a body. */
interface BodyBuffer {
  readonly length: number;
  append(chunk: Buffer): void;
  /** The memory that the body takes with this number of bytes more. */
  bytesWith(added: number): number;
  take(): Buffer;
}

export function readBody(
  request: IncomingMessage,
  { limit, reservation, ...options }: BodyReaderOptions,
): void {
  const announcedLength = Number(request.headers["content-length"]);
  const isPreallocated = announcedLength >= MINIMUM_PREALLOCATED_BYTES &&
    announcedLength <= limit;
  if (isPreallocated && !reservation.tryResize(announcedLength)) {
    request.resume();
    options.onNoMemory();
    return;
  }
  let body: BodyBuffer | undefined = isPreallocated
    ? createPreallocatedBuffer(announcedLength)
    : createChunkList();

  request.on("data", (chunk: Buffer) => {
    if (body === undefined) {
      return;
    }
    if (body.length + chunk.length > limit) {
      body = undefined;
      options.onTooLong();
    } else if (reservation.tryResize(body.bytesWith(chunk.length))) {
      body.append(chunk);
    } else {
      body = undefined;
      options.onNoMemory();
    }
  });
  request.on("end", () => {
    if (body !== undefined) {
      options.onBody(body.take());
    }
  });
  request.on("error", options.onAborted);
}

function createPreallocatedBuffer(capacity: number): BodyBuffer {
  const buffer = Buffer.allocUnsafeSlow(capacity);
  let length = 0;
  return {
    get length() {
      return length;
    },
    append(chunk) {
      chunk.copy(buffer, length);
      length += chunk.length;
    },
    bytesWith: () => capacity,
    take: () => buffer,
  };
}

function createChunkList(): BodyBuffer {
  const chunks: Buffer[] = [];
  let length = 0;
  return {
    get length() {
      return length;
    },
    append(chunk) {
      chunks.push(chunk);
      length += chunk.length;
    },
    // The chunks and their concatenation exist at the same time.
    bytesWith: (added) => chunks.length === 0 ? added : 2 * (length + added),
    take: () => chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, length),
  };
}
