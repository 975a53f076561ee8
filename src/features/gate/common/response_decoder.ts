/**
 * Decodes the responses on one connection to an instance.
 *
 * Node's HTTP client closes a connection at the first unexpected response. A faulty instance may send a
 * second response to an earlier request before the expected one, so this decoder returns each complete
 * response, and its owner selects the one with the identity of the request.
 *
 * Load pattern: a faulty instance sends endless bytes in any part of a response. Each part has a limit, and
 * decoding takes time linear in the number of bytes.
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
  /** Alternating header names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Whether the connection can be reused for another request. */
  readonly keepsConnection: boolean;
}

export type DecodeResult =
  | { readonly type: "more" }
  | { readonly type: "response"; readonly response: DecodedResponse }
  | { readonly type: "malformed"; readonly reason: string };

export interface ResponseDecoder {
  /** Whether an incomplete response or surplus bytes have arrived. */
  readonly hasUnreadBytes: boolean;
  /** The memory used by an incomplete response. */
  readonly bufferedBytes: number;
  /** Whether the current response is completed by the close of the connection. */
  readonly isCloseDelimited: boolean;
  /** The head of the response whose body is incomplete. */
  readonly incompleteHead: ResponseHead | undefined;
  push(bytes: Buffer): void;
  /** Returns the next complete response; call again until the result is `more`. */
  next(): DecodeResult;
  /** Completes a close-delimited response after an orderly close of the connection. */
  finish(): DecodeResult;
  /** Discards an incomplete response and releases its memory. */
  discard(): void;
}

const HEADER_END = Buffer.from("\r\n\r\n");
/** The prefix of every response; other bytes are rejected immediately instead of at a size limit. */
const PROTOCOL_PREFIX = Buffer.from("HTTP/1.");
const NO_INPUT: ByteCursor = { bytes: Buffer.alloc(0), position: 0 };
const MORE: DecodeResult = { type: "more" };

/** A response whose header section is complete and whose body is incomplete. */
interface PartialResponse {
  readonly head: ResponseHead;
  readonly collector: ByteCollector;
  readonly chunked: ChunkedBody | undefined;
  /** The received bytes of the body, including chunk lines and trailers. */
  received: number;
}

export function createResponseDecoder(
  options: { readonly isHeadRequest: () => boolean },
): ResponseDecoder {
  let cursor: ByteCursor = NO_INPUT;
  const headReader = createDelimitedReader();
  let partial: PartialResponse | undefined;
  /** The number of bytes of the protocol prefix that the current response has matched. */
  let matchedPrefixBytes = 0;
  let interimResponses = 0;
  let failure: DecodeResult | undefined;

  function unreadLength(): number {
    return cursor.bytes.length - cursor.position;
  }

  function fail(reason: string): DecodeResult {
    failure = { type: "malformed", reason };
    partial = undefined;
    cursor = NO_INPUT;
    headReader.discard();
    return failure;
  }

  function complete({ head }: PartialResponse, body: Buffer): DecodeResult {
    const { status, rawHeaders, keepsConnection } = head;
    partial = undefined;
    interimResponses = 0;
    return {
      type: "response",
      response: { status, rawHeaders, body, keepsConnection },
    };
  }

  function matchesProtocolPrefix(): boolean {
    const { bytes, position } = cursor;
    for (
      let index = position;
      index < bytes.length && matchedPrefixBytes < PROTOCOL_PREFIX.length;
      index += 1
    ) {
      if (bytes[index] !== PROTOCOL_PREFIX[matchedPrefixBytes]) {
        return false;
      }
      matchedPrefixBytes += 1;
    }
    return true;
  }

  /** Returns undefined after each complete header section, including that of an interim response. */
  function readHead(): DecodeResult | undefined {
    if (!matchesProtocolPrefix()) {
      return fail("the status line is malformed");
    }
    const section = headReader.read(cursor, {
      delimiter: HEADER_END,
      maximumBytes: MAXIMUM_RESPONSE_HEADER_BYTES,
    });
    if (section === "more") {
      return MORE;
    }
    if (section === "too-long") {
      return fail("the header is too long");
    }
    matchedPrefixBytes = 0;
    const head = parseResponseHead(
      section.toString("latin1"),
      options.isHeadRequest(),
    );
    if (typeof head === "string") {
      return fail(head);
    }
    // An interim response precedes the final one and has no body.
    if (head.status < 200) {
      interimResponses += 1;
      return interimResponses > MAXIMUM_INTERIM_RESPONSES
        ? fail("there are too many interim responses")
        : undefined;
    }
    partial = {
      head,
      collector: createByteCollector(),
      chunked: head.framing.type === "chunked"
        ? createChunkedBody()
        : undefined,
      received: 0,
    };
    return undefined;
  }

  function readBody(response: PartialResponse): DecodeResult {
    const { head: { framing }, chunked } = response;
    const start = cursor.position;
    const result = chunked === undefined
      ? readPlain(
        response,
        framing.type === "length" ? framing.length : Infinity,
      )
      : readChunked(response, chunked);
    response.received += cursor.position - start;
    return result.type !== "malformed" &&
        response.received > MAXIMUM_RESPONSE_BODY_BYTES
      ? fail("the body is too long")
      : result;
  }

  function readPlain(response: PartialResponse, length: number): DecodeResult {
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
    response: PartialResponse,
    chunked: ChunkedBody,
  ): DecodeResult {
    const result = chunked.read(cursor);
    switch (result.type) {
      case "more":
        return MORE;
      case "malformed":
        return fail(result.reason);
      case "body":
        return complete(response, result.body);
    }
  }

  function advance(): DecodeResult {
    if (failure !== undefined) {
      return failure;
    }
    while (partial === undefined) {
      if (unreadLength() === 0) {
        return MORE;
      }
      const result = readHead();
      if (result !== undefined) {
        return result;
      }
    }
    return readBody(partial);
  }

  return {
    get hasUnreadBytes() {
      return unreadLength() > 0 || headReader.bufferedBytes > 0 ||
        partial !== undefined;
    },
    get bufferedBytes() {
      return unreadLength() + headReader.bufferedBytes +
        (partial === undefined
          ? 0
          : partial.collector.capacity + (partial.chunked?.bufferedBytes ?? 0));
    },
    get isCloseDelimited() {
      return partial?.head.framing.type === "until-close";
    },
    get incompleteHead() {
      return partial?.head;
    },
    push(bytes) {
      const rest = cursor.bytes.subarray(cursor.position);
      cursor = {
        bytes: rest.length === 0 ? bytes : Buffer.concat([rest, bytes]),
        position: 0,
      };
    },
    next() {
      const result = advance();
      if (unreadLength() === 0) {
        cursor = NO_INPUT;
      }
      return result;
    },
    finish() {
      if (failure !== undefined) {
        return failure;
      }
      if (partial?.head.framing.type !== "until-close") {
        return fail("the connection closed before the response was complete");
      }
      return complete(partial, partial.collector.join());
    },
    discard: () => void fail("the response was discarded"),
  };
}
