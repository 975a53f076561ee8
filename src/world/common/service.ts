import type { ServiceName, ServiceVersion } from "./names.ts";

/** A service that routes lead to. */
export interface Service {
  readonly name: ServiceName;
  /** The version that receives the traffic when no move is open. */
  readonly version: ServiceVersion;
}
