/**
 * Receives account messages of other daemons; those that cannot be read are logged and dropped.
 *
 * @module
 */

import {
  createDisposableStore,
  type Disposable,
} from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { HostName } from "../../../world/common/names.ts";
import type {
  LinkMessage,
  PeerNetwork,
} from "../../link/common/peer_network.ts";
import {
  ACCOUNT_GRANT_KIND,
  ACCOUNT_NOTICE_KIND,
  ACCOUNT_REPORT_KIND,
  type AccountGrantMessage,
  type AccountNoticeMessage,
  type AccountReportMessage,
  isAccountGrant,
  isAccountNotice,
  isAccountReport,
} from "./account_messages.ts";

export interface AccountMessageHandlers {
  readonly network: Pick<PeerNetwork, "onMessage">;
  readonly log: EventLog;
  onReport(host: HostName, message: AccountReportMessage): void;
  onGrant(host: HostName, message: AccountGrantMessage): void;
  onNotice(host: HostName, message: AccountNoticeMessage): void;
}

export function listenForAccountMessages(
  { network, log, onReport, onGrant, onNotice }: AccountMessageHandlers,
): Disposable {
  const disposables = createDisposableStore();

  function listen<T extends LinkMessage>(
    kind: string,
    isReadable: (message: LinkMessage) => message is T,
    handle: (host: HostName, message: T) => void,
  ): void {
    disposables.add(network.onMessage(kind, (peer, message) => {
      const { host } = peer.process;
      if (isReadable(message)) {
        handle(host, message);
      } else {
        log.write("error", "account.message-unreadable", { peer: host, kind });
      }
    }));
  }

  listen(ACCOUNT_REPORT_KIND, isAccountReport, onReport);
  listen(ACCOUNT_GRANT_KIND, isAccountGrant, onGrant);
  listen(ACCOUNT_NOTICE_KIND, isAccountNotice, onNotice);
  return disposables;
}
