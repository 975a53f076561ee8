/**
 * A TCP proxy on loopback that injects faults into its connections.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

/**
 * `silent` drops the bytes of both directions and `one-way` those that the server sends; a
 * direction that lost bytes stays blocked until its connection ends. `reset` resets open and new
 * connections.
 */
export type ProxyFault =
  | { readonly type: "none" | "silent" | "one-way" | "reset" }
  | { readonly type: "delay"; readonly milliseconds: Milliseconds };

export interface FaultProxy {
  readonly endpoint: string;
  setFault(fault: ProxyFault): void;
  close(): void;
}

interface Relay {
  readonly client: Socket;
  readonly server: Socket;
  /** Dropped bytes leave a gap in the stream, so no later bytes may be forwarded. */
  hasDroppedBytes: { toClient: boolean; toServer: boolean };
}

export async function startFaultProxy(
  target: { readonly address: string; readonly port: number },
): Promise<FaultProxy> {
  const relays = new Set<Relay>();
  let fault: ProxyFault = { type: "none" };

  function forward(relay: Relay, direction: "toClient" | "toServer"): void {
    const [from, to] = direction === "toServer"
      ? [relay.client, relay.server]
      : [relay.server, relay.client];
    from.on("data", (bytes) => {
      const isDropped = relay.hasDroppedBytes[direction] ||
        fault.type === "silent" ||
        (fault.type === "one-way" && direction === "toClient");
      if (isDropped) {
        relay.hasDroppedBytes[direction] = true;
      } else if (fault.type === "delay") {
        setTimeout(() => to.write(bytes), fault.milliseconds);
      } else {
        to.write(bytes);
      }
    });
    from.on("close", () => {
      relays.delete(relay);
      if (!relay.hasDroppedBytes[direction]) {
        to.destroy();
      }
    });
    from.on("error", () => reset(to));
  }

  const listener = createServer((client) => {
    if (fault.type === "reset") {
      reset(client);
      return;
    }
    const server = connect({ host: target.address, port: target.port });
    const relay: Relay = {
      client,
      server,
      hasDroppedBytes: { toClient: false, toServer: false },
    };
    relays.add(relay);
    forward(relay, "toServer");
    forward(relay, "toClient");
  });
  await new Promise<void>((resolve) =>
    listener.listen(0, "127.0.0.1", resolve)
  );
  const { port } = listener.address() as AddressInfo;

  function resetAll(): void {
    for (const { client, server } of relays) {
      reset(client);
      reset(server);
    }
    relays.clear();
  }

  return {
    endpoint: `127.0.0.1:${port}`,
    setFault(next) {
      fault = next;
      if (next.type === "reset") {
        resetAll();
      }
    },
    close() {
      listener.close();
      resetAll();
    },
  };
}

/** Node never closes a socket that is reset while it ends, which keeps the process running. */
function reset(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
