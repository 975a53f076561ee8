import { setTimeout as sleep } from "node:timers/promises";
import { Command, Option } from "clipanion";
import { parseDuration } from "../../common/duration.ts";
import {
  EXIT_CODES_HELP,
  EXIT_NOT_RUN,
  EXIT_REFUSED,
  EXIT_SUCCESS,
  EXIT_UNKNOWN,
} from "../../common/exit_codes.ts";
import { DaemonRequestCommand } from "./daemon_request_command.ts";

const POLL_MS = 500;
const FINAL_STATES = ["accepted", "refused", "ignored", "done", "taken-back"];

/** Shows the state of a change or a move, or which failure domains are evacuated. */
export class StatusCommand extends DaemonRequestCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description:
      "show the state of a change or a move, or the evacuated failure domains",
    details:
      "Without CHANGE, lists the failure domains that the daemon knows. " +
      EXIT_CODES_HELP,
    examples: [
      ["Ask once", "guavarun status change-42"],
      ["List the failure domains", "guavarun status"],
      ["Wait for the result of a move", "guavarun status move-7 --wait 10m"],
    ],
  });
  identity = Option.String({ name: "CHANGE", required: false });
  wait = Option.String("--wait", {
    description: "how long to wait for a final state",
  });

  override async execute(): Promise<number> {
    const { identity } = this;
    if (identity !== undefined) {
      return await this.showPublication(identity);
    }
    return this.wait === undefined
      ? await this.showFailureDomains()
      : this.refuseUsage("--wait needs a CHANGE");
  }

  private async showFailureDomains(): Promise<number> {
    const response = await this.request("/evacuations");
    if (response.err) {
      const { message: reason } = response.val;
      this.print({ result: "not-run", reason }, `${reason}.`);
      return EXIT_NOT_RUN;
    }
    const { body, status } = response.val;
    this.print(body, String(body.description ?? `Refused: ${body.reason}.`));
    return status === 200 ? EXIT_SUCCESS : EXIT_REFUSED;
  }

  private async showPublication(identity: string): Promise<number> {
    const maximumWait = parseDuration(this.wait ?? "0s");
    if (maximumWait === undefined) {
      return this.refuseUsage(`--wait ${this.wait} is no duration such as 30s`);
    }
    const endAt = Date.now() + maximumWait;
    const path = `/moves/${encodeURIComponent(identity)}`;
    let response = await this.request(path);
    while (
      Date.now() < endAt && (response.err ||
        response.val.status !== 401 &&
          !FINAL_STATES.includes(String(response.val.body.state)))
    ) {
      await sleep(POLL_MS);
      response = await this.request(path);
    }
    if (response.err) {
      return this.reportError(response.val, identity);
    }
    const { body } = response.val;
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
