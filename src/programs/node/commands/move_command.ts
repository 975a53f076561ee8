import { randomUUID } from "node:crypto";
import { Command, Option } from "clipanion";
import { parseDuration } from "../../common/duration.ts";
import { EXIT_CODES_HELP } from "../../common/exit_codes.ts";
import { DaemonRequestCommand } from "./daemon_request_command.ts";

/** Requests a move of a service's traffic to another version. */
export class MoveCommand extends DaemonRequestCommand {
  static override paths = [["move"]];
  static override usage = Command.Usage({
    description: "move the traffic of a service to another version",
    details:
      "The traffic moves in steps until the deadline and is rolled back when the new version " +
      "proves bad. " + EXIT_CODES_HELP,
    examples: [
      [
        "Move within ten minutes",
        "guavarun move booking 2.1 --within 10m --token-file token",
      ],
    ],
  });
  service = Option.String({ name: "SERVICE" });
  version = Option.String({ name: "VERSION" });
  within = Option.String("--within", {
    required: true,
    description: "time to the deadline, such as 30s, 10m or 2h",
  });
  identity = Option.String("--identity", {
    description: "identity of the move; a new one by default",
  });

  override async execute(): Promise<number> {
    const withinMilliseconds = parseDuration(this.within);
    if (withinMilliseconds === undefined) {
      return this.refuseUsage(
        `--within ${this.within} is no duration such as 30s, 10m or 2h`,
      );
    }
    const identity = this.identity ?? `move-${randomUUID()}`;
    const response = await this.request("/moves", {
      identity,
      service: this.service,
      toVersion: this.version,
      withinMilliseconds,
    });
    return this.reportPublication(response, identity);
  }
}
