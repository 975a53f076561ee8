import type { ServiceName, ServiceVersion } from "./names.ts";

/** A service that is the target of routes. */
export interface Service {
  readonly name: ServiceName;
  /** The version that receives the traffic when no move is open. */
  readonly version: ServiceVersion;
}
