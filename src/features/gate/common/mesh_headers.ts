/**
 * The header names that callers, daemons and instances use in a deployment, in lower case.
 *
 * @module
 */

export interface MeshHeaders {
  /** Identifies one attempt of a caller; the instance returns it in its response. */
  readonly requestIdentity: string;
  /** The remaining time until the caller's deadline, in milliseconds. */
  readonly deadline: string;
  /** The only instance that may run the request. */
  readonly expectedInstance: string;
  /** The service of the host where the request originated. */
  readonly callerService: string;
  /** The key of the client account; it is not forwarded. */
  readonly clientKey: string;
  /** The name of the client account, for the instance. */
  readonly clientAccount: string;
  /** Response header: the instance did not run the request. */
  readonly notRun: string;
}
