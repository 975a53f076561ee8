/**
 * Parses the status line and header section of a response and determines its body framing.
 *
 * @module
 */

import { isFieldText, parseFieldLine } from "./field_line.ts";
import { MAXIMUM_RESPONSE_BODY_BYTES } from "./response_limits.ts";

export type BodyFraming =
  | { readonly type: "length"; readonly length: number }
  | { readonly type: "chunked" }
  | { readonly type: "until-close" };

export interface ResponseHead {
  readonly status: number;
  /** Alternating header names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly framing: BodyFraming;
  readonly keepsConnection: boolean;
}

const STATUS_LINE = /^HTTP\/1\.([01]) ([1-9]\d{2})(?: (.*))?$/s;
const CONTENT_LENGTH = /^\d{1,15}$/;

/** Returns the reason as a string if the header section is invalid. */
export function parseResponseHead(
  text: string,
  isHeadRequest: boolean,
): ResponseHead | string {
  const lines = text.split("\r\n");
  const statusLine = STATUS_LINE.exec(lines[0]);
  if (statusLine === null || !isFieldText(statusLine[3] ?? "")) {
    return "the status line is malformed";
  }
  const status = Number(statusLine[2]);
  const rawHeaders: string[] = [];
  const transferCodings: string[] = [];
  const connectionHeaders: string[] = [];
  let contentLength: number | undefined;
  for (let index = 1; index < lines.length; index += 1) {
    const field = parseFieldLine(lines[index]);
    if (typeof field === "string") {
      return field;
    }
    const { name, value } = field;
    rawHeaders.push(name, value);
    switch (name.toLowerCase()) {
      case "content-length": {
        if (
          !CONTENT_LENGTH.test(value) ||
          (contentLength !== undefined && contentLength !== Number(value))
        ) {
          return "the content length is malformed";
        }
        contentLength = Number(value);
        break;
      }
      case "transfer-encoding":
        transferCodings.push(value);
        break;
      case "connection":
        connectionHeaders.push(value);
        break;
    }
  }
  const framing = chooseFraming({
    hasNoBody: isHeadRequest || status < 200 || status === 204 ||
      status === 304,
    contentLength,
    coding: transferCodings.length === 0
      ? undefined
      : transferCodings.join(", "),
  });
  if (typeof framing === "string") {
    return framing;
  }
  const keepsConnection = framing.type !== "until-close" &&
    statusLine[1] === "1" && !hasCloseOption(connectionHeaders);
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
      : "the framing is ambiguous or the transfer coding is unsupported";
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

function hasCloseOption(connectionHeaders: readonly string[]): boolean {
  return connectionHeaders.some((value) =>
    value.split(",").some((option) => option.trim().toLowerCase() === "close")
  );
}
