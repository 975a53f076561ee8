/**
 * Temporary links for requests to hosts without a link, reused until they are idle for some seconds.
 *
 * @module
 */

import type { WebSocket } from "ws";
import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { HostName } from "../../../world/common/names.ts";
import type { LinkTarget } from "../common/peer_network.ts";
import type { Link } from "./link.ts";
import { connect } from "./link_dialer.ts";

/** Claims send requests to many hosts in turn; reusing links keeps them below the accept limit of these hosts. */
const IDLE_TIMEOUT_MS: Milliseconds = 10_000;

/** Above this number the least recently used links are closed. */
const MAXIMUM_TEMPORARY_LINKS = 64;

type LinkCallback = (link: Link | undefined, reason: string) => void;

export interface TemporaryLinks extends Disposable {
  /** Calls back with an open link to the host, or with undefined and the reason. */
  acquire(
    host: HostName,
    target: LinkTarget | undefined,
    callback: LinkCallback,
  ): void;
  has(host: HostName): boolean;
  handleEstablished(link: Link): void;
  handleClosed(link: Link): void;
  closeIdle(now: Milliseconds): void;
}

export interface TemporaryLinksOptions {
  readonly clock: Clock;
  readonly timeoutMilliseconds: Milliseconds;
  readonly addConnection: (socket: WebSocket, host: HostName) => Link;
}

export function createTemporaryLinks(
  options: TemporaryLinksOptions,
): TemporaryLinks {
  interface Entry {
    link: Link | undefined;
    socket: WebSocket | undefined;
    waiting: LinkCallback[];
  }
  const entries = new Map<HostName, Entry>();

  function settle(entry: Entry, link: Link | undefined, reason: string): void {
    for (const callback of entry.waiting.splice(0)) {
      callback(link, reason);
    }
  }

  function open(host: HostName, target: LinkTarget): Entry {
    const replaced = entries.get(host);
    if (replaced !== undefined) {
      settle(replaced, undefined, `The link to ${host} closed`);
    }
    const entry: Entry = { link: undefined, socket: undefined, waiting: [] };
    entries.set(host, entry);
    entry.socket = connect(target, {
      timeoutMilliseconds: options.timeoutMilliseconds,
      onOpen(socket) {
        entry.link = options.addConnection(socket, host);
      },
      onFailure({ reason }) {
        if (entries.get(host) === entry) {
          entries.delete(host);
        }
        settle(entry, undefined, `Cannot connect to ${host}: ${reason}`);
      },
    });
    return entry;
  }

  function findEntry(link: Link): [HostName, Entry] | undefined {
    return [...entries].find(([, entry]) => entry.link === link);
  }

  return {
    acquire(host, target, callback) {
      const entry = entries.get(host);
      const isClosing = entry?.link?.isOpen === false;
      if (entry?.link?.isOpen && entry.link.peer !== undefined) {
        callback(entry.link, "");
      } else if (entry !== undefined && !isClosing) {
        entry.waiting.push(callback);
      } else if (target === undefined) {
        callback(undefined, `The address of ${host} is not known`);
      } else {
        open(host, target).waiting.push(callback);
      }
    },
    has: (host) => entries.has(host),
    handleEstablished(link) {
      const found = findEntry(link);
      if (found !== undefined) {
        settle(found[1], link, "");
      }
    },
    handleClosed(link) {
      const found = findEntry(link);
      if (found !== undefined) {
        entries.delete(found[0]);
        settle(found[1], undefined, `The link to ${found[0]} closed`);
      }
    },
    closeIdle(now) {
      const open = [...entries.values()].filter(({ link }) => link?.peer)
        .map(({ link }) => link!)
        .sort((left, right) => right.lastUsedAt - left.lastUsedAt);
      open.forEach((link, index) => {
        if (
          now - link.lastUsedAt > IDLE_TIMEOUT_MS ||
          index >= MAXIMUM_TEMPORARY_LINKS
        ) {
          link.close();
        }
      });
    },
    dispose() {
      for (const [host, entry] of entries) {
        entry.socket?.terminate();
        settle(
          entry,
          undefined,
          `The network is closed, the request to ${host} was not sent`,
        );
      }
      entries.clear();
    },
  };
}
