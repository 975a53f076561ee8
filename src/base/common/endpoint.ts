/**
 * Network endpoints, which settings and instances write as `ADDRESS:PORT`.
 *
 * @module
 */

export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

export function parseEndpoint(endpoint: string): Endpoint {
  const colon = endpoint.lastIndexOf(":");
  return {
    address: endpoint.slice(0, colon),
    port: Number(endpoint.slice(colon + 1)),
  };
}
