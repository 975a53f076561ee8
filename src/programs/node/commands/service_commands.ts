/**
 * The commands that run a daemon or a stand-in until it is stopped.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { EXIT_CODES_HELP } from "../../common/exit_codes.ts";
import type { ServiceCommandName } from "../service_names.ts";

abstract class ServiceCommand extends Command {
  file = Option.String({ name: "SETTINGS" });
  protected abstract readonly service: ServiceCommandName;

  override async execute(): Promise<number> {
    const { runService } = await import("../run_service.ts");
    return await runService(this.service, this.file);
  }
}

const STOP_HELP = "SIGTERM or SIGINT stops it gracefully, with exit code 0. " +
  EXIT_CODES_HELP;

export class DaemonCommand extends ServiceCommand {
  static override paths = [["daemon"]];
  static override usage = Command.Usage({
    description: "run the daemon of a host",
    details: "Runs the proxy of this host. " + STOP_HELP,
    examples: [
      ["Run a daemon", "guavarun daemon examples/hollister/tacoma-1.jsonc"],
    ],
  });
  protected override readonly service = "daemon";
}

export class PlatformCommand extends ServiceCommand {
  static override paths = [["platform"]];
  static override usage = Command.Usage({
    description: "run the stand-in of the platform log",
    details: "Keeps its records in memory, for trials without a platform. " +
      STOP_HELP,
    examples: [
      ["Run a platform log", "guavarun platform examples/platform.jsonc"],
    ],
  });
  protected override readonly service = "platform";
}

export class UpstreamCommand extends ServiceCommand {
  static override paths = [["upstream"]];
  static override usage = Command.Usage({
    description: "run an upstream stand-in",
    details: "Answers calls and announces itself to the daemon on its host. " +
      STOP_HELP,
    examples: [
      ["Run an upstream", "guavarun upstream examples/hollister/booking.jsonc"],
    ],
  });
  protected override readonly service = "upstream";
}
