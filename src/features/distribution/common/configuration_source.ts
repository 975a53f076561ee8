/**
 * Interface through which other features read the configuration of this daemon.
 *
 * @module
 */

import type { Disposable } from "../../../base/common/disposable.ts";
import type { Event } from "../../../base/common/emitter.ts";
import type { Configuration } from "../../../world/common/configuration.ts";
import type { ChangeIdentity } from "../../../world/common/names.ts";
import type { RecordVerdict } from "../../fold/common/fold.ts";

export interface ConfigurationSource extends Disposable {
  /** The newest accepted configuration; its version never decreases. */
  readonly current: Configuration;
  /** The offset of the next log entry to fold. */
  readonly position: number;
  /** Whether the configuration is at or above this host's version floor. */
  readonly isReady: boolean;
  /** Fires after each accepted record. */
  readonly onChanged: Event<Configuration>;
  /** Returns the verdict on a record; undefined when none is retained. */
  findVerdict(identity: ChangeIdentity): RecordVerdict | undefined;
}
