/**
 * Reads how long a request may take.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { MeshRoute } from "../../../world/common/mesh_configuration.ts";
import type { MeshHeaders } from "../../gate/common/mesh_headers.ts";

/** Returns the timeout of the client or that of the route, whichever is shorter. */
export function readTimeout(
  request: Pick<IncomingMessage, "headers">,
  { route, headers }: {
    readonly route: Pick<MeshRoute, "timeoutMilliseconds">;
    readonly headers: Pick<MeshHeaders, "deadline">;
  },
): Milliseconds {
  const clientTimeout = Number(request.headers[headers.deadline] ?? NaN);
  return Math.min(
    Number.isFinite(clientTimeout) ? clientTimeout : Infinity,
    route.timeoutMilliseconds,
  );
}
