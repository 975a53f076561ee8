/**
 * Base class of the commands that send requests to a daemon.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import type { Result } from "../../../base/common/result.ts";
import {
  describeError,
  type StepError,
} from "../../../base/common/step_error.ts";
import {
  EXIT_NOT_RUN,
  EXIT_REFUSED,
  EXIT_SUCCESS,
  EXIT_UNKNOWN,
  EXIT_USAGE,
} from "../../common/exit_codes.ts";
import {
  type AdministrationResponse,
  callAdministration,
  type DaemonAddress,
} from "../administration_client.ts";

const DEFAULT_DAEMON = "127.0.0.1:7101";

export abstract class DaemonRequestCommand extends Command {
  daemon = Option.String(
    "--daemon",
    process.env.GUAVARUN_DAEMON ?? DEFAULT_DAEMON,
    { description: "ADDRESS:PORT of the administration API" },
  );
  tokenFile = Option.String("--token-file", {
    description: "file with the token; by default GUAVARUN_TOKEN",
  });
  json = Option.Boolean("--json", false, {
    description: "print the daemon's response as JSON",
  });

  protected request(path: string, body?: unknown) {
    return callAdministration(this.readAddress(), path, body);
  }

  /** The token itself is not an option, because other users can read the command line of a process. */
  private readAddress(): DaemonAddress {
    if (this.tokenFile === undefined) {
      return {
        address: this.daemon,
        token: process.env.GUAVARUN_TOKEN ?? "",
      };
    }
    try {
      const token = readFileSync(this.tokenFile, "utf8").trim();
      return { address: this.daemon, token };
    } catch (error) {
      throw new UsageError(`Cannot read the token: ${describeError(error)}`);
    }
  }

  /** Prints the response to a publication and returns the exit code. */
  protected reportPublication(
    response: Result<AdministrationResponse, StepError>,
    identity: string,
  ): number {
    if (response.err) {
      return this.reportError(response.val, identity);
    }
    const { body } = response.val;
    this.print(body, String(body.description ?? `Refused: ${body.reason}.`));
    switch (body.result) {
      case "accepted":
        return EXIT_SUCCESS;
      case "unknown":
        return EXIT_UNKNOWN;
      case "not-run":
        return EXIT_NOT_RUN;
      default:
        return EXIT_REFUSED;
    }
  }

  protected reportError(error: StepError, identity: string): number {
    const { message: reason, outcome } = error;
    const advice = outcome === "not-run"
      ? "Nothing was done."
      : `The outcome is unknown; repeat with --identity ${identity} or ask for its status.`;
    this.print({ identity, result: outcome, reason }, `${reason}. ${advice}`);
    return outcome === "not-run" ? EXIT_NOT_RUN : EXIT_UNKNOWN;
  }

  protected refuseUsage(message: string): number {
    this.context.stderr.write(message + "\n");
    return EXIT_USAGE;
  }

  protected print(body: unknown, text: string): void {
    this.context.stdout.write(
      (this.json ? JSON.stringify(body) : text) + "\n",
    );
  }
}
