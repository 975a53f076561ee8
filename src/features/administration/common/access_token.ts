/**
 * Access tokens of operators: finds the settings of a token and checks which customers its team may change.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { CustomerName } from "../../../world/common/names.ts";

/** Matches every customer in the customer list of a token. */
export const ALL_CUSTOMERS = "*";

export interface AccessToken {
  /** SHA-256 of the token in lower-case hexadecimal digits. */
  readonly sha256: string;
  readonly team: string;
  readonly mayPublish: boolean;
  readonly customers: readonly CustomerName[];
}

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,512})$/i;

/** Returns the bearer token of an `authorization` header, or undefined. */
export function readBearerToken(
  header: string | undefined,
): string | undefined {
  return BEARER_PATTERN.exec(header ?? "")?.[1];
}

/**
 * Finds the settings of a presented token. All stored hashes are compared, each in constant time, so that the response
 * time reveals nothing about them.
 */
export function findToken(
  tokens: readonly AccessToken[],
  presented: string | undefined,
): AccessToken | undefined {
  const hash = createHash("sha256").update(presented ?? "").digest();
  let found: AccessToken | undefined;
  for (const token of tokens) {
    const expected = Buffer.from(token.sha256, "hex");
    if (
      expected.length === hash.length && timingSafeEqual(expected, hash) &&
      presented !== undefined
    ) {
      found = token;
    }
  }
  return found;
}

export function mayChangeCustomer(
  token: AccessToken,
  customer: CustomerName,
): boolean {
  return mayChangeAll(token) || token.customers.includes(customer);
}

export function mayChangeAll(token: AccessToken): boolean {
  return token.customers.includes(ALL_CUSTOMERS);
}
