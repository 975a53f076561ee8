/**
 * The headers by which callers, proxies and upstreams communicate, and those that end at a hop.
 *
 * @module
 */

/** The identity of a call, the same at every hop. */
export const CALL_HEADER = "guavarun-call";
export const CUSTOMER_HEADER = "guavarun-customer";
export const DEADLINE_HEADER = "guavarun-deadline-milliseconds";
export const OUTCOME_HEADER = "guavarun-outcome";
export const RETRY_HEADER = "guavarun-retry";
export const IDEMPOTENCY_HEADER = "idempotency-key";

/** The value of {@linkcode RETRY_HEADER} that forbids the layers above to retry. */
export const RETRY_NEVER = "never";

const CONNECTION = "connection";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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

/** Names and values in turn, as Node's `rawHeaders` has them. */
export type RawHeaders = readonly string[];

/** Copies the headers that may pass a hop: without hop-by-hop headers and those given. */
export function copyEndToEndHeaders(
  raw: RawHeaders,
  without: ReadonlySet<string>,
): string[] {
  const named = findConnectionOptions(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (
      !HOP_BY_HOP.has(name) && !without.has(name) &&
      (named === undefined || !named.has(name))
    ) {
      kept.push(raw[index], raw[index + 1]);
    }
  }
  return kept;
}

/** Headers as lines, each with its line end. */
export function formatHeaderLines(raw: RawHeaders): string {
  let lines = "";
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines += `${raw[index]}: ${raw[index + 1]}\r\n`;
  }
  return lines;
}

/** The header names that `connection` lists, which are hop-by-hop as well. */
function findConnectionOptions(raw: RawHeaders): Set<string> | undefined {
  let named: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (
      raw[index].length === CONNECTION.length &&
      raw[index].toLowerCase() === CONNECTION
    ) {
      named ??= new Set();
      for (const option of raw[index + 1].split(",")) {
        named.add(option.trim().toLowerCase());
      }
    }
  }
  return named;
}
