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

const HIGHEST_PORT = 65_535;

/** Whether a connection can be made to this port. */
export function isPort(value: number): boolean {
  return Number.isInteger(value) && value >= 1 && value <= HIGHEST_PORT;
}

const DECIMAL_BYTE = /^(0|[1-9]\d{0,2})$/;

/** Whether a value is an IPv4 address; other addresses would have to be looked up. */
export function isAddress(value: string): boolean {
  const parts = value.split(".");
  return parts.length === 4 &&
    parts.every((part) => DECIMAL_BYTE.test(part) && Number(part) <= 255);
}

/** Whether a value has the form `ADDRESS:PORT`. */
export function isEndpoint(value: string): boolean {
  const { address, port } = parseEndpoint(value);
  return isAddress(address) && isPort(port) &&
    value === `${address}:${port}`;
}
