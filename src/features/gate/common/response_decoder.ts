/**
 * Decodes the responses on one connection to an instance.
 *
 * Node's client ends a connection at the first response that it did not expect. A faulty instance
 * may send a second response to an earlier request in front of the one that is due, so this
 * decoder hands over each response as it is complete, and its owner picks the one with the
 * identity of the request.
 *
 * @module
 */

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
  /** Whether the end of the connection completes the response that has begun. */
  readonly awaitsEnd: boolean;
  push(bytes: Buffer): void;
  /** Takes the next complete response; call again until it says `more`. */
  next(): DecodeStep;
  /** The connection has ended in order: completes a response that has no length. */
  finish(): DecodeStep;
}

export const MAXIMUM_RESPONSE_HEADER_BYTES = 64 * 1024;
export const MAXIMUM_RESPONSE_BODY_BYTES = 64 * 1024 * 1024;

const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: [^\r\n]*)?$/;
const HEADER_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/;
const CHUNK_SIZE_LINE = /^([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?$/;
const LINE_END = Buffer.from("\r\n");
const HEADER_END = Buffer.from("\r\n\r\n");

type BodyFraming =
  | { readonly type: "length"; readonly length: number }
  | { readonly type: "chunked" }
  | { readonly type: "until-close" };

interface Head {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly framing: BodyFraming;
  readonly keepsConnection: boolean;
}

const MORE: DecodeStep = { type: "more" };

export function createResponseDecoder(
  options: { readonly isHeadRequest: () => boolean },
): ResponseDecoder {
  let chunks: Buffer[] = [];
  let length = 0;
  let head: Head | undefined;
  let failure: DecodeStep | undefined;

  function peek(): Buffer {
    if (chunks.length > 1) {
      chunks = [Buffer.concat(chunks, length)];
    }
    return chunks[0] ?? Buffer.alloc(0);
  }

  function consume(count: number): void {
    const rest = peek().subarray(count);
    chunks = rest.length === 0 ? [] : [rest];
    length = rest.length;
  }

  function fail(reason: string): DecodeStep {
    failure = { type: "malformed", reason };
    return failure;
  }

  function complete(body: Buffer): DecodeStep {
    const { status, rawHeaders, keepsConnection } = head!;
    head = undefined;
    return {
      type: "response",
      response: { status, rawHeaders, body, keepsConnection },
    };
  }

  function readHead(): DecodeStep | undefined {
    const bytes = peek();
    const end = bytes.indexOf(HEADER_END);
    if (end < 0) {
      return bytes.length > MAXIMUM_RESPONSE_HEADER_BYTES
        ? fail("the header is too long")
        : MORE;
    }
    const parsed = parseHead(
      bytes.toString("latin1", 0, end),
      options.isHeadRequest(),
    );
    if (typeof parsed === "string") {
      return fail(parsed);
    }
    consume(end + HEADER_END.length);
    // Interim responses announce the final one and carry no answer.
    if (parsed.status >= 200) {
      head = parsed;
    }
    return undefined;
  }

  function readBody(framing: BodyFraming): DecodeStep {
    switch (framing.type) {
      case "length": {
        if (length < framing.length) {
          return MORE;
        }
        const body = Buffer.from(peek().subarray(0, framing.length));
        consume(framing.length);
        return complete(body);
      }
      case "chunked": {
        const result = parseChunks(peek());
        if (result === "more") {
          return MORE;
        }
        if ("reason" in result) {
          return fail(result.reason);
        }
        consume(result.end);
        return complete(result.body);
      }
      case "until-close":
        return length > MAXIMUM_RESPONSE_BODY_BYTES
          ? fail("the body is too long")
          : MORE;
    }
  }

  return {
    get hasBytes() {
      return length > 0 || head !== undefined;
    },
    get awaitsEnd() {
      return head?.framing.type === "until-close";
    },
    push(bytes) {
      chunks.push(bytes);
      length += bytes.length;
    },
    next() {
      if (failure !== undefined) {
        return failure;
      }
      while (head === undefined) {
        if (length === 0) {
          return MORE;
        }
        const step = readHead();
        if (step !== undefined) {
          return step;
        }
      }
      return readBody(head.framing);
    },
    finish() {
      if (head?.framing.type !== "until-close") {
        return fail("the connection closed before the response was complete");
      }
      const body = Buffer.from(peek());
      consume(body.length);
      return complete(body);
    },
  };
}

function parseHead(text: string, isHeadRequest: boolean): Head | string {
  const lines = text.split("\r\n");
  const statusLine = STATUS_LINE.exec(lines[0]);
  if (statusLine === null) {
    return "the status line is malformed";
  }
  const status = Number(statusLine[2]);
  const rawHeaders: string[] = [];
  let contentLength: number | undefined;
  let coding: string | undefined;
  let connection = "";
  for (const line of lines.slice(1)) {
    const field = HEADER_LINE.exec(line);
    if (field === null) {
      return "a header line is malformed";
    }
    const [, name, value] = field;
    rawHeaders.push(name, value);
    switch (name.toLowerCase()) {
      case "content-length": {
        if (
          !/^\d{1,15}$/.test(value) ||
          (contentLength !== undefined && contentLength !== Number(value))
        ) {
          return "the content length is malformed";
        }
        contentLength = Number(value);
        break;
      }
      case "transfer-encoding":
        coding = coding === undefined ? value : `${coding}, ${value}`;
        break;
      case "connection":
        connection = `${connection},${value}`.toLowerCase();
        break;
    }
  }
  const framing = chooseFraming({
    hasNoBody: isHeadRequest || status < 200 || status === 204 ||
      status === 304,
    contentLength,
    coding,
  });
  if (typeof framing === "string") {
    return framing;
  }
  const keepsConnection = framing.type !== "until-close" &&
    statusLine[1] === "1" && !/(^|,)\s*close\s*(,|$)/.test(connection);
  return { status, rawHeaders, framing, keepsConnection };
}

function chooseFraming(
  { hasNoBody, contentLength, coding }: {
    readonly hasNoBody: boolean;
    readonly contentLength: number | undefined;
    readonly coding: string | undefined;
  },
): BodyFraming | string {
  if (coding !== undefined) {
    return coding.trim().toLowerCase() === "chunked" &&
        contentLength === undefined
      ? (hasNoBody ? { type: "length", length: 0 } : { type: "chunked" })
      : "the framing is ambiguous";
  }
  if (hasNoBody) {
    return { type: "length", length: 0 };
  }
  if (contentLength === undefined) {
    return { type: "until-close" };
  }
  return contentLength > MAXIMUM_RESPONSE_BODY_BYTES
    ? "the body is too long"
    : { type: "length", length: contentLength };
}

/** Parses a whole chunked body at the start of the bytes. */
function parseChunks(
  bytes: Buffer,
): "more" | { readonly reason: string } | {
  readonly body: Buffer;
  readonly end: number;
} {
  const parts: Buffer[] = [];
  let position = 0;
  while (true) {
    const lineEnd = bytes.indexOf(LINE_END, position);
    if (lineEnd < 0) {
      return bytes.length - position > MAXIMUM_RESPONSE_HEADER_BYTES
        ? { reason: "a chunk line is too long" }
        : "more";
    }
    const line = CHUNK_SIZE_LINE.exec(
      bytes.toString("latin1", position, lineEnd),
    );
    if (line === null) {
      return { reason: "a chunk line is malformed" };
    }
    const size = parseInt(line[1], 16);
    const start = lineEnd + LINE_END.length;
    if (size === 0) {
      return parseTrailer(bytes, start, parts);
    }
    if (size > MAXIMUM_RESPONSE_BODY_BYTES) {
      return { reason: "a chunk is too long" };
    }
    if (bytes.length < start + size + LINE_END.length) {
      return "more";
    }
    if (!bytes.subarray(start + size, start + size + 2).equals(LINE_END)) {
      return { reason: "a chunk does not end where it should" };
    }
    parts.push(bytes.subarray(start, start + size));
    position = start + size + LINE_END.length;
  }
}

function parseTrailer(bytes: Buffer, start: number, parts: Buffer[]) {
  if (bytes.subarray(start, start + LINE_END.length).equals(LINE_END)) {
    return { body: Buffer.concat(parts), end: start + LINE_END.length };
  }
  const end = bytes.indexOf(HEADER_END, start);
  return end < 0
    ? "more" as const
    : { body: Buffer.concat(parts), end: end + HEADER_END.length };
}
