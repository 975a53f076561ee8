/**
 * Incrementally decodes a body in chunked transfer coding.
 *
 * @module
 */

import { createByteCollector } from "./byte_collector.ts";
import { type ByteCursor, createDelimitedReader } from "./delimited_reader.ts";
import { isFieldText, parseFieldLine } from "./field_line.ts";
import {
  MAXIMUM_RESPONSE_BODY_BYTES,
  MAXIMUM_RESPONSE_HEADER_BYTES,
} from "./response_limits.ts";

export type ChunkedReadResult =
  | { readonly type: "more" }
  | { readonly type: "body"; readonly body: Buffer }
  | { readonly type: "malformed"; readonly reason: string };

export interface ChunkedBody {
  readonly bufferedBytes: number;
  read(cursor: ByteCursor): ChunkedReadResult;
}

const CHUNK_SIZE_LINE = /^([0-9a-fA-F]{1,8})[ \t]*(?:;(.*))?$/s;
const LINE_END = Buffer.from("\r\n");

type ParserState =
  | { readonly type: "size" | "end" | "trailer" }
  | { readonly type: "data"; readonly left: number };

export function createChunkedBody(): ChunkedBody {
  const lineReader = createDelimitedReader();
  const body = createByteCollector();
  let state: ParserState = { type: "size" };
  let trailerBytes = 0;

  function readLine(cursor: ByteCursor, maximumBytes: number) {
    return lineReader.read(cursor, { delimiter: LINE_END, maximumBytes });
  }

  function readSize(cursor: ByteCursor): ChunkedReadResult | undefined {
    const line = readLine(cursor, MAXIMUM_RESPONSE_HEADER_BYTES);
    if (line === "more") {
      return { type: "more" };
    }
    if (line === "too-long") {
      return malformed("a chunk line is too long");
    }
    const match = CHUNK_SIZE_LINE.exec(line.toString("latin1"));
    if (match === null || !isFieldText(match[2] ?? "")) {
      return malformed("a chunk line is malformed");
    }
    const size = parseInt(match[1], 16);
    if (size > MAXIMUM_RESPONSE_BODY_BYTES) {
      return malformed("a chunk is too long");
    }
    state = size === 0 ? { type: "trailer" } : { type: "data", left: size };
    return undefined;
  }

  function readData(
    cursor: ByteCursor,
    remaining: number,
  ): ChunkedReadResult | undefined {
    const start = cursor.position;
    const data = cursor.bytes.subarray(start, start + remaining);
    body.append(data);
    cursor.position += data.length;
    state = data.length === remaining
      ? { type: "end" }
      : { type: "data", left: remaining - data.length };
    return data.length === remaining ? undefined : { type: "more" };
  }

  function readChunkEnd(cursor: ByteCursor): ChunkedReadResult | undefined {
    const line = readLine(cursor, 0);
    if (line === "more") {
      return { type: "more" };
    }
    if (line === "too-long") {
      return malformed("a chunk does not end where it should");
    }
    state = { type: "size" };
    return undefined;
  }

  function readTrailer(cursor: ByteCursor): ChunkedReadResult | undefined {
    const line = readLine(cursor, MAXIMUM_RESPONSE_HEADER_BYTES - trailerBytes);
    if (line === "more") {
      return { type: "more" };
    }
    if (line === "too-long") {
      return malformed("the trailer is too long");
    }
    if (line.length === 0) {
      return { type: "body", body: body.join() };
    }
    const field = parseFieldLine(line.toString("latin1"));
    if (typeof field === "string") {
      return malformed(field);
    }
    trailerBytes += line.length + LINE_END.length;
    return trailerBytes > MAXIMUM_RESPONSE_HEADER_BYTES
      ? malformed("the trailer is too long")
      : undefined;
  }

  function readNext(cursor: ByteCursor): ChunkedReadResult | undefined {
    switch (state.type) {
      case "size":
        return readSize(cursor);
      case "data":
        return readData(cursor, state.left);
      case "end":
        return readChunkEnd(cursor);
      case "trailer":
        return readTrailer(cursor);
    }
  }

  return {
    get bufferedBytes() {
      return lineReader.bufferedBytes + body.capacity;
    },
    read(cursor) {
      while (true) {
        const result = readNext(cursor);
        if (result !== undefined) {
          return result;
        }
      }
    },
  };
}

function malformed(reason: string): ChunkedReadResult {
  return { type: "malformed", reason };
}
