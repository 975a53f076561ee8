/**
 * Tokens of operators: who presents one, and what its team may change.
 *
 * @module
 */

import { createHash, timingSafeEqual } from "node:crypto";
import type { CustomerName } from "../../../world/common/names.ts";

/** Stands for every customer in a token's list. */
export const ALL_CUSTOMERS = "*";

export interface AccessToken {
  /** SHA-256 of the token in lower-case hexadecimal digits. */
  readonly sha256: string;
  readonly team: string;
  readonly mayPublish: boolean;
  readonly customers: readonly CustomerName[];
}

const BEARER = /^Bearer +([\x21-\x7e]{1,512})$/i;

/** The token in an `authorization` header, if it has one. */
export function readBearerToken(
  header: string | undefined,
): string | undefined {
  return BEARER.exec(header ?? "")?.[1];
}

/**
 * Finds the settings of a presented token. Every hash is compared in constant time, and all
 * are compared, so that the time of the answer tells nothing about the stored hashes.
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
