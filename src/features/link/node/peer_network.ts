/**
 * The peer network over WebSocket links between daemons.
 *
 * @module
 */

import { type WebSocket, WebSocketServer } from "ws";
import {
  type BackoffOptions,
  RECONNECT_BACKOFF,
} from "../../../base/common/backoff.ts";
import type { Clock } from "../../../base/common/clock.ts";
import { createEmitter } from "../../../base/common/emitter.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { StepError } from "../../../base/common/step_error.ts";
import {
  formatProcess,
  type HostIdentity,
} from "../../../world/common/host.ts";
import type { HostName } from "../../../world/common/names.ts";
import {
  LINK_PROTOCOL,
  type LinkFrame,
  type LinkPurpose,
} from "../common/link_frame.ts";
import {
  computeHeartbeatInterval,
  createAcceptLimiter,
  replacesLink,
} from "../common/link_rules.ts";
import type { LinkTarget, Peer, PeerNetwork } from "../common/peer_network.ts";
import { createFrameDispatcher } from "./frame_dispatcher.ts";
import {
  createLink,
  encodeFrame,
  type Link,
  MAXIMUM_MESSAGE_BYTES,
  MAXIMUM_MISSED_INTERVALS,
} from "./link.ts";
import { createLinkDialer, RETRY_HEADER } from "./link_dialer.ts";
import { createPendingRequests } from "./pending_requests.ts";
import { createTemporaryLinks } from "./temporary_links.ts";

const HEARTBEAT_INTERVAL_MS: Milliseconds = 1_000;
/** A heartbeat is sent after this fraction of the interval without a frame, so that it arrives in time. */
const HEARTBEAT_DUE_FRACTION = 0.75;

/** Limits the work of a daemon when many peers reconnect at the same time. */
const ACCEPTED_LINKS_PER_SECOND = 20;

export interface PeerNetworkOptions {
  readonly self: HostIdentity;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** The base interval, used with few links; see {@linkcode computeHeartbeatInterval}. */
  readonly heartbeatIntervalMilliseconds?: Milliseconds;
  readonly acceptedLinksPerSecond?: number;
  readonly reconnectBackoff?: BackoffOptions;
}

/** A peer network with a listening port. */
export interface SocketPeerNetwork extends PeerNetwork {
  /** The address on which the network accepts links, or the error if it cannot listen. */
  readonly listening: Promise<Result<LinkTarget, StepError>>;
}

export function createPeerNetwork(
  options: PeerNetworkOptions,
): SocketPeerNetwork {
  const { self, clock, log } = options;
  const ownHost = self.process.host;
  const selfPeer: Peer = {
    process: self.process,
    failureDomain: self.failureDomain,
  };
  const interval = options.heartbeatIntervalMilliseconds ??
    HEARTBEAT_INTERVAL_MS;
  const traffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    receivedMessages: 0,
  };
  const dispatcher = createFrameDispatcher(log);
  const opened = createEmitter<Peer>();
  const closed = createEmitter<Peer>();
  const targetReplaced = createEmitter<LinkTarget>();
  const connections = new Set<Link>();
  const links = new Map<HostName, Link>();
  const pending = createPendingRequests(clock);
  const limiter = createAcceptLimiter(
    options.acceptedLinksPerSecond ?? ACCEPTED_LINKS_PER_SECOND,
  );
  let resolveTarget: (host: HostName) => LinkTarget | undefined = () =>
    undefined;
  let disposed = false;

  const dialer = createLinkDialer({
    ownHost,
    clock,
    random: options.random,
    backoff: options.reconnectBackoff ?? RECONNECT_BACKOFF,
    timeoutMilliseconds: MAXIMUM_MISSED_INTERVALS * interval,
    hasLink: (host) => disposed || links.has(host),
    onOpen: (target, socket) => addConnection(socket, "link", target.host),
    onFailure: (target, { reason }) =>
      log.write("debug", "link.connect-failed", { peer: target.host, reason }),
  });

  const temporary = createTemporaryLinks({
    clock,
    timeoutMilliseconds: MAXIMUM_MISSED_INTERVALS * interval,
    addConnection: (socket, host) => addConnection(socket, "temporary", host),
  });

  const server = new WebSocketServer({
    host: self.addresses.address,
    port: self.addresses.linkPort,
    maxPayload: MAXIMUM_MESSAGE_BYTES,
    perMessageDeflate: false,
    verifyClient(_, decide) {
      const delay = limiter.accept(clock.now());
      decide(delay === 0, 503, "Too many links", {
        [RETRY_HEADER]: String(delay),
      });
    },
  });
  const listening = new Promise<Result<LinkTarget, StepError>>((resolve) => {
    server.once("listening", () => {
      const bound = server.address() as { address: string; port: number };
      resolve(Ok({ host: ownHost, address: bound.address, port: bound.port }));
    });
    server.on("error", (error) => {
      log.write("error", "link.listen-failed", { error: error.message });
      resolve(Err(new StepError("link.listen", error.message)));
    });
  });
  server.on("connection", (socket) => addConnection(socket));

  /** Adds a connection and sends the hello; `dialledHost` is undefined if the other side opened it. */
  function addConnection(
    socket: WebSocket,
    purpose: LinkPurpose = "link",
    dialledHost?: HostName,
  ): Link {
    const link = createLink(socket, {
      clock,
      traffic,
      heartbeatInterval: interval,
      openedBy: dialledHost === undefined ? undefined : ownHost,
      onFrame: (link, frame) => handleFrame(link, frame, dialledHost),
      onClosed: (link) => handleClosed(link, dialledHost),
    });
    connections.add(link);
    link.purpose = purpose;
    link.sendHello(selfPeer, purpose);
    return link;
  }

  function handleFrame(
    link: Link,
    frame: LinkFrame,
    dialledHost?: HostName,
  ): void {
    if (frame.type === "hello") {
      handleHello(link, frame, dialledHost);
    } else if (link.peer === undefined) {
      link.destroy();
    } else if (frame.type === "answer") {
      pending.answer(link.peer.process.host, frame.id, frame.message);
    } else if (frame.type === "failure") {
      pending.fail(link.peer.process.host, frame.id, frame.reason);
    } else if (frame.type === "ping") {
      link.peerInterval = frame.interval ?? interval;
    } else {
      link.lastUsedAt = clock.now();
      dispatcher.dispatch({
        peer: link.peer,
        frame,
        // If this link was closed as a duplicate, the answer goes over the link that was kept.
        reply: (answer) =>
          (link.isOpen ? link : links.get(link.peer!.process.host))
            ?.send(answer),
      });
    }
  }

  function handleHello(
    link: Link,
    hello: Extract<LinkFrame, { type: "hello" }>,
    dialledHost?: HostName,
  ): void {
    const { host } = hello.peer.process;
    if (
      hello.protocol !== LINK_PROTOCOL || link.peer !== undefined ||
      host === ownHost || (dialledHost !== undefined && dialledHost !== host)
    ) {
      log.write("warn", "link.hello-refused", {
        peer: formatProcess(hello.peer.process),
        protocol: hello.protocol,
        expected: dialledHost,
      });
      link.destroy();
      const target = dialledHost === undefined || dialledHost === host
        ? undefined
        : dialer.targets.get(dialledHost);
      if (target !== undefined) {
        targetReplaced.fire(target);
      }
      return;
    }
    link.peer = hello.peer;
    link.openedBy ??= host;
    link.establishedAt = clock.now();
    if (dialledHost === undefined) {
      link.purpose = hello.purpose;
    }
    if (link.purpose === "link") {
      resolveDuplicateLink(link, hello.peer);
    } else {
      temporary.handleEstablished(link);
    }
  }

  function resolveDuplicateLink(next: Link, peer: Peer): void {
    const { host } = peer.process;
    const present = links.get(host);
    if (present === undefined) {
      links.set(host, next);
      opened.fire(peer);
      return;
    }
    const describe = (link: Link) => ({
      process: link.peer!.process,
      openedBy: link.openedBy!,
    });
    if (!replacesLink(describe(present), describe(next))) {
      next.close();
      return;
    }
    links.set(host, next);
    if (present.peer!.process.startedAt === peer.process.startedAt) {
      present.close();
      return;
    }
    present.destroy();
    pending.failAll(`${host} has been replaced`, host);
    closed.fire(present.peer!);
    opened.fire(peer);
  }

  function handleClosed(link: Link, dialledHost?: HostName): void {
    connections.delete(link);
    temporary.handleClosed(link);
    const host = link.peer?.process.host ?? dialledHost;
    if (host === undefined || disposed) {
      return;
    }
    if (link.purpose === "link" && links.get(host) === link) {
      links.delete(host);
      closed.fire(link.peer!);
    }
    if (!links.has(host) && !temporary.has(host)) {
      pending.failAll(`The link to ${host} closed`, host);
    }
    dialer.ensureLink(host);
  }

  let lastCheckAt = clock.now();
  const livenessTimer = clock.repeat(interval / 2, () => {
    const now = clock.now();
    // After a pause of this process, frames from peers are still unread in the sockets.
    const wasPaused = now - lastCheckAt > 2 * interval;
    lastCheckAt = now;
    for (const link of connections) {
      link.lastReceivedAt = wasPaused ? now : link.lastReceivedAt;
      checkLiveness(link, now);
    }
    temporary.closeIdle(now);
  });

  function checkLiveness(link: Link, now: Milliseconds): void {
    const limit = MAXIMUM_MISSED_INTERVALS * link.peerInterval;
    const congestedSince = link.congestedSince(now);
    if (
      now - link.lastReceivedAt >= limit ||
      (congestedSince !== undefined && now - congestedSince >= limit)
    ) {
      log.write("warn", "link.silent", {
        peer: link.peer?.process.host,
        silentMilliseconds: now - link.lastReceivedAt,
        congested: congestedSince !== undefined,
      });
      link.destroy();
      return;
    }
    if (
      now - link.lastSentAt >= HEARTBEAT_DUE_FRACTION * link.announcedInterval
    ) {
      link.announcedInterval = computeHeartbeatInterval(interval, links.size);
      link.send({ type: "ping", interval: link.announcedInterval });
    }
    if (
      link.peer !== undefined &&
      now - link.establishedAt >= MAXIMUM_MISSED_INTERVALS * interval
    ) {
      dialer.resetBackoff(link.peer.process.host);
    }
  }

  return {
    listening,
    traffic,
    get peers() {
      return [...links.values()].map((link) => link.peer!);
    },
    findPeer: (host) => links.get(host)?.peer,
    getOverdueTime(host) {
      const link = links.get(host);
      return link === undefined
        ? 0
        : Math.max(0, clock.now() - link.lastReceivedAt - link.peerInterval);
    },
    getIdleTime(host) {
      const link = links.get(host);
      return link === undefined ? 0 : clock.now() - link.lastReceivedAt;
    },
    onLinkOpened: opened.event,
    onLinkClosed: closed.event,
    onTargetReplaced: targetReplaced.event,
    setTargets(targets) {
      dialer.setTargets(targets.filter(({ host }) => host !== ownHost));
      for (const [host, link] of links) {
        if (link.openedBy === ownHost && !dialer.targets.has(host)) {
          link.close();
        }
      }
    },
    setAddressResolver(find) {
      resolveTarget = find;
    },
    send: (host, message) =>
      links.get(host)?.send({ type: "message", message }) ?? false,
    sendToAll(hosts, message) {
      const bytes = encodeFrame({ type: "message", message });
      for (const host of hosts) {
        links.get(host)?.sendEncoded(bytes);
      }
    },
    request: (host, message, requestOptions) =>
      new Promise((resolve) => {
        const request = pending.add(host, message, requestOptions, resolve);
        const transmit = (link: Link | undefined, reason: string) => {
          if (request.isSettled) {
            return;
          }
          request.sent =
            link?.send({ type: "request", id: request.id, message }) ??
              false;
          if (!request.sent) {
            request.fail(
              link === undefined ? reason : `The link to ${host} is congested`,
            );
          } else {
            link!.lastUsedAt = clock.now();
          }
        };
        const link = links.get(host);
        if (link?.isOpen) {
          transmit(link, "");
        } else {
          temporary.acquire(
            host,
            dialer.targets.get(host) ?? resolveTarget(host),
            transmit,
          );
        }
      }),
    onMessage: dispatcher.onMessage,
    onRequest: dispatcher.onRequest,
    dispose() {
      disposed = true;
      livenessTimer.dispose();
      dialer.dispose();
      temporary.dispose();
      server.close();
      for (const link of connections) {
        link.close();
        // Closes the socket even if the peer does not respond to the closing handshake.
        clock.schedule(interval, () => link.destroy());
      }
      pending.failAll("The network is closed");
      dispatcher.dispose();
      opened.dispose();
      closed.dispose();
      targetReplaced.dispose();
    },
  };
}
