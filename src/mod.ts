/**
 * The public API of the library: starts a daemon, publishes to the platform log, and validates records and settings
 * in the same way as a daemon.
 *
 * @module
 */

export type { Clock } from "./base/common/clock.ts";
export type { EventLog, LogEvent } from "./base/common/event_log.ts";
export { Err, Ok, type Result } from "./base/common/result.ts";
export { StepError } from "./base/common/step_error.ts";
export { createProcessLog } from "./base/node/process_log.ts";
export { readSettingsFile } from "./base/node/settings_file.ts";
export {
  checkRecord,
  foldEntries,
  type FoldState,
  INITIAL_FOLD_STATE,
} from "./features/fold/common/fold.ts";
export { LogClient } from "./features/log/common/log_client.ts";
export { createHttpLogClient } from "./features/log/node/http_log_client.ts";
export {
  type DaemonSettings,
  daemonSettingsSchema,
} from "./programs/common/daemon_settings.ts";
export type {
  RunningDaemon,
  StartOptions,
} from "./programs/node/process_starters.ts";
export { startDaemon } from "./programs/node/daemon.ts";
export type { Configuration } from "./world/common/configuration.ts";
export type { Contract, ContractLimits } from "./world/common/contract.ts";
export type {
  Evacuation,
  EvacuationAction,
} from "./world/common/evacuation.ts";
export type {
  ChangeRecord,
  EvacuationRecord,
  LogEntry,
  LogRecord,
  MoveRecord,
  VerdictRecord,
} from "./world/common/log_record.ts";
export type { Move, MoveOutcome } from "./world/common/move.ts";
export type { CallClass, Route } from "./world/common/route.ts";
export type { Service } from "./world/common/service.ts";
