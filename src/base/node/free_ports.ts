/**
 * Free loopback ports for the processes of tests, the demo and the soak on one machine.
 *
 * @module
 */

import { createServer, type Server } from "node:net";

const LOOPBACK = "127.0.0.1";
/**
 * All blocks lie below 32,768, where the ephemeral port range of Linux begins. An outgoing connection could take a
 * free port of that range before its owner listens on it.
 */
const FIRST_PORT = 20_000;
const PORTS_PER_BLOCK = 200;
const BLOCK_COUNT = 60;

/** A block of ports that this process has reserved by listening on its first port. */
interface PortBlock {
  readonly end: number;
  next: number;
}

let block: PortBlock | undefined;

function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen({ port, host: LOOPBACK, exclusive: true }, () => {
      resolve(server);
    });
  });
}

async function reserveBlock(): Promise<PortBlock> {
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt += 1) {
    const index = (process.pid + attempt) % BLOCK_COUNT;
    const start = FIRST_PORT + index * PORTS_PER_BLOCK;
    const lockServer = await tryListen(start);
    if (lockServer !== undefined) {
      lockServer.unref();
      return { next: start + 1, end: start + PORTS_PER_BLOCK };
    }
  }
  throw new Error(
    "Cannot find free ports: other processes have reserved all blocks",
  );
}

async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) {
    return false;
  }
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Returns ports that no other call of this function returns, in this process or another running one. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (block === undefined || block.next === block.end) {
      block = await reserveBlock();
    }
    const port = block.next;
    block.next += 1;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}
