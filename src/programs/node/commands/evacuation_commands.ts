/**
 * The commands that evacuate a failure domain and take it back.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Command, Option } from "clipanion";
import type { EvacuationAction } from "../../../world/common/evacuation.ts";
import { EXIT_CODES_HELP } from "../../common/exit_codes.ts";
import { DaemonRequestCommand } from "./daemon_request_command.ts";

abstract class EvacuationOrderCommand extends DaemonRequestCommand {
  failureDomain = Option.String({ name: "DOMAIN" });
  identity = Option.String("--identity", {
    description: "identity of the order; a new one by default",
  });
  protected abstract readonly action: EvacuationAction;

  override async execute(): Promise<number> {
    const identity = this.identity ?? `${this.action}-${randomUUID()}`;
    const response = await this.request("/evacuations", {
      identity,
      failureDomain: this.failureDomain,
      action: this.action,
    });
    return this.reportPublication(response, identity);
  }
}

/** Orders that the instances of a failure domain get no calls. */
export class EvacuateCommand extends EvacuationOrderCommand {
  static override paths = [["evacuate"]];
  static override usage = Command.Usage({
    description: "send no calls to the instances of a failure domain",
    details:
      "Calls that run end; new ones go to other failure domains. Refused when the failure domain " +
      "is unknown, or when a service would have no instance in any other one. " +
      EXIT_CODES_HELP,
    examples: [
      ["Evacuate", "guavarun evacuate salem --token-file token"],
      [
        "Retry after an unknown outcome",
        "guavarun evacuate salem --identity evacuate-42 --token-file token",
      ],
    ],
  });
  protected override readonly action = "evacuate";
}

/** Takes an evacuated failure domain back. */
export class RestoreCommand extends EvacuationOrderCommand {
  static override paths = [["restore"]];
  static override usage = Command.Usage({
    description: "take an evacuated failure domain back into service",
    details: "Its instances ramp up over 10 s. " + EXIT_CODES_HELP,
    examples: [["Restore", "guavarun restore salem --token-file token"]],
  });
  protected override readonly action = "restore";
}
