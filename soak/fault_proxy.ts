/**
 * A TCP proxy on loopback that can harm the connections that pass through it.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { Milliseconds } from "../src/base/common/milliseconds.ts";

/**
 * What happens to bytes: `silent` drops both directions and `one-way` drops what the server sends,
 * for good on the connections that are open then; `reset` resets open and new connections.
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
  /** Bytes that were dropped once leave a gap, so nothing may follow them. */
  isCut: { toClient: boolean; toServer: boolean };
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
      const isDropped = relay.isCut[direction] || fault.type === "silent" ||
        (fault.type === "one-way" && direction === "toClient");
      if (isDropped) {
        relay.isCut[direction] = true;
      } else if (fault.type === "delay") {
        setTimeout(() => to.write(bytes), fault.milliseconds);
      } else {
        to.write(bytes);
      }
    });
    from.on("close", () => {
      relays.delete(relay);
      if (!relay.isCut[direction]) {
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
      isCut: { toClient: false, toServer: false },
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

/** A socket that is ending cannot be reset; Node then neither closes it nor ends the process. */
function reset(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
