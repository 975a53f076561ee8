/**
 * Peer networks in memory, for tests and measurements of features that use links.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import { registerHandler } from "../../../base/common/handler_map.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { Err, Ok } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkMessage,
  LinkTarget,
  Peer,
  PeerNetwork,
} from "./peer_network.ts";

type MessageHandler = (peer: Peer, message: LinkMessage) => void;
type RequestHandler = (
  peer: Peer,
  message: LinkMessage,
) => LinkMessage | Promise<LinkMessage>;

export interface MemoryTransportOptions {
  readonly clock: Clock;
  readonly latencyMilliseconds: Milliseconds;
  /** The size of a message in bytes, for the traffic counters; 0 when absent. */
  readonly measureBytes?: (message: LinkMessage) => number;
}

/** An in-memory transport between the networks that it creates; connections between two hosts can be cut. */
export interface MemoryTransport {
  createNetwork(peer: Peer): MemoryNetwork;
  /** Drops messages between two hosts in both directions until `restore` is called. */
  cut(first: HostName, second: HostName): void;
  restore(first: HostName, second: HostName): void;
}

export interface MemoryNetwork extends PeerNetwork {
  readonly self: Peer;
}

interface Node extends MemoryNetwork {
  readonly targets: Set<HostName>;
  deliver(peer: Peer, message: LinkMessage): void;
  answer(peer: Peer, message: LinkMessage): Promise<LinkMessage> | undefined;
  opened(peer: Peer): void;
  closed(peer: Peer): void;
}

export function createMemoryTransport(
  options: MemoryTransportOptions,
): MemoryTransport {
  const nodes = new Map<HostName, Node>();
  const cuts = new Set<string>();

  function isReachable(from: HostName, to: HostName): boolean {
    return nodes.has(from) && nodes.has(to) && !cuts.has(keyOf(from, to));
  }

  function isLinked(from: HostName, to: HostName): boolean {
    return isReachable(from, to) &&
      (nodes.get(from)!.targets.has(to) || nodes.get(to)!.targets.has(from));
  }

  function transmit(
    from: HostName,
    to: HostName,
    action: (target: Node) => void,
  ): void {
    options.clock.schedule(options.latencyMilliseconds, () => {
      if (isReachable(from, to)) {
        action(nodes.get(to)!);
      }
    });
  }

  function createNetwork(self: Peer): MemoryNetwork {
    const node = createNode(self, {
      options,
      isLinked,
      isReachable,
      transmit,
      peerOf: (host) => nodes.get(host)?.self,
      linkedPeers: () =>
        [...nodes.values()].map((other) => other.self).filter((peer) =>
          isLinked(self.process.host, peer.process.host)
        ),
      notify: (host, kind) => nodes.get(host)?.[kind](self),
      remove: () => nodes.delete(self.process.host),
    });
    nodes.set(self.process.host, node);
    return node;
  }

  return {
    createNetwork,
    cut(first, second) {
      const wasLinked = isLinked(first, second);
      cuts.add(keyOf(first, second));
      if (wasLinked) {
        nodes.get(first)!.closed(nodes.get(second)!.self);
        nodes.get(second)!.closed(nodes.get(first)!.self);
      }
    },
    restore(first, second) {
      cuts.delete(keyOf(first, second));
      if (isLinked(first, second)) {
        nodes.get(first)!.opened(nodes.get(second)!.self);
        nodes.get(second)!.opened(nodes.get(first)!.self);
      }
    },
  };
}

function keyOf(first: HostName, second: HostName): string {
  return first < second ? `${first}|${second}` : `${second}|${first}`;
}

interface NodeContext {
  readonly options: MemoryTransportOptions;
  isLinked(from: HostName, to: HostName): boolean;
  isReachable(from: HostName, to: HostName): boolean;
  transmit(from: HostName, to: HostName, action: (target: Node) => void): void;
  peerOf(host: HostName): Peer | undefined;
  linkedPeers(): Peer[];
  notify(host: HostName, kind: "opened" | "closed"): void;
  remove(): void;
}

function createNode(self: Peer, context: NodeContext): Node {
  const ownName = self.process.host;
  const targets = new Set<HostName>();
  const messageHandlers = new Map<string, MessageHandler>();
  const requestHandlers = new Map<string, RequestHandler>();
  const opened = createEmitter<Peer>();
  const closed = createEmitter<Peer>();
  const traffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    receivedMessages: 0,
  };

  function countTraffic(
    direction: "sent" | "received",
    message: LinkMessage,
  ): void {
    traffic[`${direction}Messages`] += 1;
    traffic[`${direction}Bytes`] += context.options.measureBytes?.(message) ??
      0;
  }

  function setTargets(next: readonly LinkTarget[]): void {
    const before = new Set(
      context.linkedPeers().map((peer) => peer.process.host),
    );
    targets.clear();
    for (const { host } of next) {
      if (host !== ownName) {
        targets.add(host);
      }
    }
    const after = new Set(
      context.linkedPeers().map((peer) => peer.process.host),
    );
    for (const host of after) {
      if (!before.has(host)) {
        context.notify(host, "opened");
        opened.fire(context.peerOf(host)!);
      }
    }
    for (const host of before) {
      if (!after.has(host)) {
        context.notify(host, "closed");
        closed.fire(context.peerOf(host)!);
      }
    }
  }

  function send(host: HostName, message: LinkMessage): boolean {
    if (!context.isLinked(ownName, host)) {
      return false;
    }
    countTraffic("sent", message);
    context.transmit(ownName, host, (target) => target.deliver(self, message));
    return true;
  }

  return {
    self,
    targets,
    get peers() {
      return context.linkedPeers();
    },
    findPeer: (host) =>
      context.isLinked(ownName, host) ? context.peerOf(host) : undefined,
    // A cut closes the link without delay, so a peer is never overdue.
    getOverdueTime: () => 0,
    getIdleTime: () => 0,
    traffic,
    onLinkOpened: opened.event,
    onLinkClosed: closed.event,
    // Hosts are addressed by name, so an address is never reused by another host.
    onTargetReplaced: () => ({ dispose() {} }),
    setTargets,
    setAddressResolver() {},
    send,
    sendToAll(hosts, message) {
      for (const host of hosts) {
        send(host, message);
      }
    },
    request(host, message, { timeoutMilliseconds }) {
      return new Promise((resolve) => {
        const peer = { peer: host };
        const fail = (text: string, outcome: "not-run" | "unknown") =>
          resolve(
            Err(
              new StepError(`link.request.${message.kind}`, text, {
                ...peer,
                outcome,
              }),
            ),
          );
        if (!context.isReachable(ownName, host)) {
          fail(`No link to ${host}`, "not-run");
          return;
        }
        const timer = context.options.clock.schedule(
          timeoutMilliseconds,
          () =>
            fail(
              `No answer from ${host} within ${timeoutMilliseconds} ms`,
              "unknown",
            ),
        );
        countTraffic("sent", message);
        context.transmit(ownName, host, (target) => {
          target.answer(self, message)?.then((answer) =>
            context.transmit(host, ownName, () => {
              countTraffic("received", answer);
              timer.dispose();
              resolve(Ok(answer));
            })
          );
        });
      });
    },
    onMessage: (kind, handler) =>
      registerHandler(messageHandlers, kind, handler),
    onRequest: (kind, handler) =>
      registerHandler(requestHandlers, kind, handler),
    deliver(peer, message) {
      countTraffic("received", message);
      messageHandlers.get(message.kind)?.(peer, message);
    },
    answer(peer, message) {
      countTraffic("received", message);
      const handler = requestHandlers.get(message.kind);
      return handler &&
        Promise.resolve(handler(peer, message)).then((answer) => {
          countTraffic("sent", answer);
          return answer;
        });
    },
    opened: (peer) => opened.fire(peer),
    closed: (peer) => closed.fire(peer),
    dispose() {
      setTargets([]);
      context.remove();
      opened.dispose();
      closed.dispose();
    },
  };
}
