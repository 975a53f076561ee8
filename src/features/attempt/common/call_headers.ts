/**
 * The headers that callers, proxies and upstreams exchange, and the removal of hop-by-hop headers.
 *
 * @module
 */

/** The identity of a call; it is the same at every hop. */
export const CALL_HEADER = "guavarun-call";
export const CUSTOMER_HEADER = "guavarun-customer";
export const DEADLINE_HEADER = "guavarun-deadline-milliseconds";
export const OUTCOME_HEADER = "guavarun-outcome";
export const RETRY_HEADER = "guavarun-retry";
export const IDEMPOTENCY_HEADER = "idempotency-key";

/** The value of {@linkcode RETRY_HEADER} that forbids callers to retry. */
export const RETRY_NEVER = "never";

const CONNECTION = "connection";

/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  CONNECTION,
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Alternating names and values, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Copies the end-to-end headers, except those in `excluded` (lowercase names). */
export function copyEndToEndHeaders(
  raw: RawHeaders,
  excluded: ReadonlySet<string>,
): string[] {
  const connectionOptions = findConnectionOptions(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (
      !HOP_BY_HOP.has(name) && !excluded.has(name) &&
      (connectionOptions === undefined || !connectionOptions.has(name))
    ) {
      kept.push(raw[index], raw[index + 1]);
    }
  }
  return kept;
}

/** Formats headers as lines that end with CRLF. */
export function formatHeaderLines(raw: RawHeaders): string {
  let lines = "";
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines += `${raw[index]}: ${raw[index + 1]}\r\n`;
  }
  return lines;
}

/** The lowercase header names that the `connection` header lists; these are hop-by-hop too. */
function findConnectionOptions(raw: RawHeaders): Set<string> | undefined {
  let optionNames: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (
      raw[index].length === CONNECTION.length &&
      raw[index].toLowerCase() === CONNECTION
    ) {
      optionNames ??= new Set();
      for (const option of raw[index + 1].split(",")) {
        optionNames.add(option.trim().toLowerCase());
      }
    }
  }
  return optionNames;
}
