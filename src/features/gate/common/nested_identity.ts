/**
 * Finds the call for which an instance makes a nested call.
 *
 * Instances derive the identity of a nested call from that of its parent: it contains that of the parent,
 * set off by separators. Clients are free to choose their identities, so an identity alone proves nothing;
 * who uses this must harm nobody if the request is a client's.
 *
 * @module
 */

const LETTER_OR_DIGIT = /[\p{L}\p{N}]/u;

/** Whether an identity contains that of another call as a whole part. */
export function isDerivedIdentity(
  identity: string,
  parentIdentity: string,
): boolean {
  if (
    parentIdentity.length === 0 || parentIdentity.length >= identity.length
  ) {
    return false;
  }
  let start = identity.indexOf(parentIdentity);
  while (start >= 0) {
    const end = start + parentIdentity.length;
    if (isSeparated(identity, start) && isSeparated(identity, end)) {
      return true;
    }
    start = identity.indexOf(parentIdentity, start + 1);
  }
  return false;
}

/** Whether a part of an identity may begin or end at a position. */
function isSeparated(identity: string, position: number): boolean {
  return position === 0 || position === identity.length ||
    !LETTER_OR_DIGIT.test(identity[position - 1]) ||
    !LETTER_OR_DIGIT.test(identity[position]);
}

export interface PossibleParent {
  readonly request: { readonly requestIdentity: string };
}

/**
 * Lists the calls that a nested call with this identity may belong to. Those with the longest identity are
 * the closest: a call may itself be nested in another one at the same instance.
 */
export function findClosestParents<Call extends PossibleParent>(
  identity: string,
  calls: Iterable<Call>,
): readonly Call[] {
  let closest: Call[] = [];
  let length = 0;
  for (const call of calls) {
    const { requestIdentity } = call.request;
    if (
      requestIdentity.length < length ||
      !isDerivedIdentity(identity, requestIdentity)
    ) {
      continue;
    }
    if (requestIdentity.length > length) {
      closest = [];
      length = requestIdentity.length;
    }
    closest.push(call);
  }
  return closest;
}
