/**
 * The interface of the limits of client accounts.
 *
 * @module
 */

import type { Clock } from "../../../base/common/clock.ts";
import type { Disposable } from "../../../base/common/disposable.ts";
import type { EventLog } from "../../../base/common/event_log.ts";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import type { RandomSource } from "../../../base/common/random_source.ts";
import type { ClientAccount } from "../../../world/common/client_account.ts";
import type {
  AccountName,
  FailureDomainName,
  HostName,
} from "../../../world/common/names.ts";
import type { PeerNetwork } from "../../link/common/peer_network.ts";
import type { AccountUsage } from "./account_usage.ts";
import type { KnownHost } from "./granter_contacts.ts";

export type AccountAdmission =
  | { readonly type: "admitted"; readonly permit: AccountPermit }
  | { readonly type: "refused"; readonly retryAfter: Milliseconds };

export interface AccountPermit {
  /** Gives the permit back: no instance has run the call. */
  giveBack(): void;
}

export interface AccountLimits extends Disposable {
  /** Sets the accounts of the configuration in force; undefined if callers need no key. */
  setAccounts(
    accounts: ReadonlyMap<AccountName, ClientAccount> | undefined,
  ): void;
  admit(account: AccountName): AccountAdmission;
  /** The accounts with most demand on this daemon, and all others together. */
  readonly usage: readonly AccountUsage[];
}

export interface AccountLimitsOptions {
  readonly self: {
    readonly host: HostName;
    readonly failureDomain: FailureDomainName;
    /** On the clock that the daemons of the fleet share, unlike `clock`. */
    readonly startedAt: Milliseconds;
  };
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly random: RandomSource;
  /** How long received messages may have waited for the event loop of this process. */
  readonly loopDelay: () => Milliseconds;
  /** This daemon and all known ones. */
  readonly listHosts: () => readonly KnownHost[];
  /** Whether the list of the store has been read; hosts are learnt from links before. */
  readonly areHostsListed: () => boolean;
}
