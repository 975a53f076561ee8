/**
 * Links that are opened for requests to hosts without a link, and kept for a while.
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

/** Claims ask many hosts in turn; reuse keeps them under the accept limit of the others. */
const IDLE_LIMIT_MS: Milliseconds = 10_000;

/** The least recently used link closes when there are more. */
const MAXIMUM_TEMPORARY_LINKS = 64;

type Use = (link: Link | undefined, reason: string) => void;

export interface TemporaryLinks extends Disposable {
  /** Gives an open link to the host, or undefined and the reason. */
  use(host: HostName, target: LinkTarget | undefined, use: Use): void;
  has(host: HostName): boolean;
  established(link: Link): void;
  closed(link: Link): void;
  closeIdle(now: Milliseconds): void;
}

export interface TemporaryLinksOptions {
  readonly clock: Clock;
  readonly timeoutMilliseconds: Milliseconds;
  readonly adopt: (socket: WebSocket, host: HostName) => Link;
}

export function createTemporaryLinks(
  options: TemporaryLinksOptions,
): TemporaryLinks {
  interface Entry {
    link: Link | undefined;
    socket: WebSocket | undefined;
    waiting: Use[];
  }
  const entries = new Map<HostName, Entry>();

  function settle(entry: Entry, link: Link | undefined, reason: string): void {
    for (const use of entry.waiting.splice(0)) {
      use(link, reason);
    }
  }

  function open(host: HostName, target: LinkTarget): Entry {
    const former = entries.get(host);
    if (former !== undefined) {
      settle(former, undefined, `The link to ${host} closed`);
    }
    const entry: Entry = { link: undefined, socket: undefined, waiting: [] };
    entries.set(host, entry);
    entry.socket = connect(target, {
      timeoutMilliseconds: options.timeoutMilliseconds,
      onOpen(socket) {
        entry.link = options.adopt(socket, host);
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
    use(host, target, use) {
      const entry = entries.get(host);
      const isClosing = entry?.link?.isOpen === false;
      if (entry?.link?.isOpen && entry.link.peer !== undefined) {
        use(entry.link, "");
      } else if (entry !== undefined && !isClosing) {
        entry.waiting.push(use);
      } else if (target === undefined) {
        use(undefined, `The address of ${host} is not known`);
      } else {
        open(host, target).waiting.push(use);
      }
    },
    has: (host) => entries.has(host),
    established(link) {
      const found = findEntry(link);
      if (found !== undefined) {
        settle(found[1], link, "");
      }
    },
    closed(link) {
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
          now - link.lastUsedAt > IDLE_LIMIT_MS ||
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
          `The network is closed, ${host} was not asked`,
        );
      }
      entries.clear();
    },
  };
}
