/**
 * Decodes the responses on one connection to an instance.
 *
 * Node's client ends a connection at the first response that it did not expect. A faulty instance
 * may send a second response to an earlier request in front of the one that is due, so this
 * decoder hands over each response as it is complete, and its owner picks the one with the
 * identity of the request.
 *
 * Load pattern: a faulty instance sends bytes without end, in any part of a response. Each part has
 * a limit, and the work on a response grows with its bytes only.
 *
 * @module
 */

import { type ByteCollector, createByteCollector } from "./byte_collector.ts";
import { type ChunkedBody, createChunkedBody } from "./chunked_body.ts";
import { type ByteCursor, createDelimitedReader } from "./delimited_reader.ts";
import { parseResponseHead, type ResponseHead } from "./response_head.ts";
import {
  MAXIMUM_INTERIM_RESPONSES,
  MAXIMUM_RESPONSE_BODY_BYTES,
  MAXIMUM_RESPONSE_HEADER_BYTES,
} from "./response_limits.ts";

export interface DecodedResponse {
  readonly status: number;
  /** Names and values by turns, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Whether the connection may carry another request. */
  readonly keepsConnection: boolean;
}

export type DecodeStep =
  | { readonly type: "more" }
  | { readonly type: "response"; readonly response: DecodedResponse }
  | { readonly type: "malformed"; readonly reason: string };

export interface ResponseDecoder {
  /** Whether bytes of an unfinished response, or surplus bytes, have arrived. */
  readonly hasBytes: boolean;
  /** The memory that bytes of an unfinished response take. */
  readonly heldBytes: number;
  /** Whether the end of the connection completes the response that has begun. */
  readonly awaitsEnd: boolean;
  push(bytes: Buffer): void;
  /** Takes the next complete response; call again until it says `more`. */
  next(): DecodeStep;
  /** The connection has ended in order: completes a response that has no length. */
  finish(): DecodeStep;
  /** Releases the memory of an unfinished response. */
  discard(): void;
}

const HEADER_END = Buffer.from("\r\n\r\n");
/** The beginning of every response; other bytes are not read up to a limit first. */
const PROTOCOL = Buffer.from("HTTP/1.");
const NO_INPUT: ByteCursor = { bytes: Buffer.alloc(0), position: 0 };
const MORE: DecodeStep = { type: "more" };

/** A response whose header section is complete. */
interface OpenResponse {
  readonly head: ResponseHead;
  readonly collector: ByteCollector;
  readonly chunked: ChunkedBody | undefined;
  /** The bytes of the body so far, with chunk lines and trailers. */
  received: number;
}

export function createResponseDecoder(
  options: { readonly isHeadRequest: () => boolean },
): ResponseDecoder {
  let cursor: ByteCursor = NO_INPUT;
  const heads = createDelimitedReader();
  let open: OpenResponse | undefined;
  /** How much of the name of the protocol the beginning of the current header has. */
  let protocolBytes = 0;
  let interimResponses = 0;
  let failure: DecodeStep | undefined;

  function unread(): number {
    return cursor.bytes.length - cursor.position;
  }

  function fail(reason: string): DecodeStep {
    failure = { type: "malformed", reason };
    open = undefined;
    cursor = NO_INPUT;
    heads.discard();
    return failure;
  }

  function complete({ head }: OpenResponse, body: Buffer): DecodeStep {
    const { status, rawHeaders, keepsConnection } = head;
    open = undefined;
    interimResponses = 0;
    return {
      type: "response",
      response: { status, rawHeaders, body, keepsConnection },
    };
  }

  function startsWithProtocol(): boolean {
    const { bytes, position } = cursor;
    for (
      let index = position;
      index < bytes.length && protocolBytes < PROTOCOL.length;
      index += 1
    ) {
      if (bytes[index] !== PROTOCOL[protocolBytes]) {
        return false;
      }
      protocolBytes += 1;
    }
    return true;
  }

  /** Returns undefined after a whole header section, be it of an interim response. */
  function readHead(): DecodeStep | undefined {
    if (!startsWithProtocol()) {
      return fail("the status line is malformed");
    }
    const section = heads.read(cursor, {
      delimiter: HEADER_END,
      maximumBytes: MAXIMUM_RESPONSE_HEADER_BYTES,
    });
    if (section === "more") {
      return MORE;
    }
    if (section === "too-long") {
      return fail("the header is too long");
    }
    protocolBytes = 0;
    const head = parseResponseHead(
      section.toString("latin1"),
      options.isHeadRequest(),
    );
    if (typeof head === "string") {
      return fail(head);
    }
    // Interim responses announce the final one and carry no answer.
    if (head.status < 200) {
      interimResponses += 1;
      return interimResponses > MAXIMUM_INTERIM_RESPONSES
        ? fail("there are too many interim responses")
        : undefined;
    }
    open = {
      head,
      collector: createByteCollector(),
      chunked: head.framing.type === "chunked"
        ? createChunkedBody()
        : undefined,
      received: 0,
    };
    return undefined;
  }

  function readBody(response: OpenResponse): DecodeStep {
    const { head: { framing }, chunked } = response;
    const start = cursor.position;
    const step = chunked === undefined
      ? readPlain(
        response,
        framing.type === "length" ? framing.length : Infinity,
      )
      : readChunked(response, chunked);
    response.received += cursor.position - start;
    return step.type !== "malformed" &&
        response.received > MAXIMUM_RESPONSE_BODY_BYTES
      ? fail("the body is too long")
      : step;
  }

  function readPlain(response: OpenResponse, length: number): DecodeStep {
    const { collector } = response;
    const start = cursor.position;
    const part = cursor.bytes.subarray(
      start,
      start + length - collector.length,
    );
    cursor.position += part.length;
    // Most bodies arrive in one read.
    if (part.length === length) {
      return complete(response, Buffer.from(part));
    }
    collector.append(part);
    return collector.length === length
      ? complete(response, collector.join())
      : MORE;
  }

  function readChunked(
    response: OpenResponse,
    chunked: ChunkedBody,
  ): DecodeStep {
    const step = chunked.read(cursor);
    switch (step.type) {
      case "more":
        return MORE;
      case "malformed":
        return fail(step.reason);
      case "body":
        return complete(response, step.body);
    }
  }

  function advance(): DecodeStep {
    if (failure !== undefined) {
      return failure;
    }
    while (open === undefined) {
      if (unread() === 0) {
        return MORE;
      }
      const step = readHead();
      if (step !== undefined) {
        return step;
      }
    }
    return readBody(open);
  }

  return {
    get hasBytes() {
      return unread() > 0 || heads.heldBytes > 0 || open !== undefined;
    },
    get heldBytes() {
      return unread() + heads.heldBytes +
        (open === undefined
          ? 0
          : open.collector.capacity + (open.chunked?.heldBytes ?? 0));
    },
    get awaitsEnd() {
      return open?.head.framing.type === "until-close";
    },
    push(bytes) {
      const rest = cursor.bytes.subarray(cursor.position);
      cursor = {
        bytes: rest.length === 0 ? bytes : Buffer.concat([rest, bytes]),
        position: 0,
      };
    },
    next() {
      const step = advance();
      if (unread() === 0) {
        cursor = NO_INPUT;
      }
      return step;
    },
    finish() {
      if (failure !== undefined) {
        return failure;
      }
      if (open?.head.framing.type !== "until-close") {
        return fail("the connection closed before the response was complete");
      }
      return complete(open, open.collector.join());
    },
    discard: () => void fail("the response was given up"),
  };
}
