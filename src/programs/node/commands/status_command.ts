import { setTimeout as sleep } from "node:timers/promises";
import { Command, Option } from "clipanion";
import { parseDuration } from "../../common/duration.ts";
import {
  EXIT_CODES_HELP,
  EXIT_REFUSED,
  EXIT_SUCCESS,
  EXIT_UNKNOWN,
} from "../../common/exit_codes.ts";
import { DaemonRequestCommand } from "./daemon_request_command.ts";

const POLL_MS = 500;
const FINAL_STATES = ["accepted", "refused", "ignored", "done", "taken-back"];

/** Tells what became of a change or a move. */
export class StatusCommand extends DaemonRequestCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "show what became of a change or a move",
    details: EXIT_CODES_HELP,
    examples: [
      ["Ask once", "guavarun status change-42"],
      ["Wait for the result of a move", "guavarun status move-7 --wait 10m"],
    ],
  });
  identity = Option.String({ name: "CHANGE" });
  wait = Option.String("--wait", "0s", {
    description: "how long to wait for a final state",
  });

  override async execute(): Promise<number> {
    const wait = parseDuration(this.wait);
    if (wait === undefined) {
      return this.refuseUsage(`--wait ${this.wait} is no duration such as 30s`);
    }
    const endAt = Date.now() + wait;
    const path = `/moves/${encodeURIComponent(this.identity)}`;
    let answer = await this.request(path);
    while (
      Date.now() < endAt && (answer.err ||
        answer.val.status !== 401 &&
          !FINAL_STATES.includes(String(answer.val.body.state)))
    ) {
      await sleep(POLL_MS);
      answer = await this.request(path);
    }
    if (answer.err) {
      return this.reportError(answer.val, this.identity);
    }
    const { body } = answer.val;
    this.print(body, String(body.description ?? `Refused: ${body.reason}.`));
    switch (body.state) {
      case "accepted":
      case "open":
      case "done":
        return EXIT_SUCCESS;
      case "not-found":
        return EXIT_UNKNOWN;
      default:
        return EXIT_REFUSED;
    }
  }
}
