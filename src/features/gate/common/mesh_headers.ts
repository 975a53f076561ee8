/**
 * The names of the headers that callers, daemons and instances use, as the deployment spells
 * them. All in lower case.
 *
 * @module
 */

export interface MeshHeaders {
  /** Identifies one try of a caller; an instance repeats it in its response. */
  readonly requestIdentity: string;
  /** Milliseconds that the caller still waits. */
  readonly deadline: string;
  /** The instance that alone may run the request. */
  readonly expectedInstance: string;
  /** The service on the host where the request began. */
  readonly callerService: string;
  /** In a response: the instance did not run the request. */
  readonly notRun: string;
}
