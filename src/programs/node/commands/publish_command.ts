import { randomUUID } from "node:crypto";
import { Command, Option } from "clipanion";
import { readSettingsFile } from "../../../base/node/settings_file.ts";
import { changeDocumentSchema } from "../../../features/administration/common/documents.ts";
import { EXIT_CODES_HELP, EXIT_REFUSED } from "../../common/exit_codes.ts";
import { DaemonRequestCommand } from "./daemon_request_command.ts";

/** Publishes a configuration document. */
export class PublishCommand extends DaemonRequestCommand {
  static override paths = [["publish"]];
  static override usage = Command.Usage({
    description: "publish a change of the configuration",
    details:
      "The file is JSON with comments: baseVersion (optional), upsert and remove. " +
      "A retry with the same identity does not publish the change again. " +
      EXIT_CODES_HELP,
    examples: [
      [
        "Publish the contract of a customer",
        "guavarun publish examples/hollister/contract.jsonc --token-file token",
      ],
      [
        "Retry after an unknown outcome",
        "guavarun publish contract.jsonc --identity change-42 --json",
      ],
    ],
  });
  file = Option.String({ name: "FILE" });
  identity = Option.String("--identity", {
    description: "identity of the change; a new one by default",
  });

  override async execute(): Promise<number> {
    const document = readSettingsFile(this.file, changeDocumentSchema);
    if (document.err) {
      this.print(
        { result: "refused", reason: document.val.message },
        document.val.message,
      );
      return EXIT_REFUSED;
    }
    const identity = this.identity ?? document.val.identity ??
      `change-${randomUUID()}`;
    const response = await this.request("/changes", {
      ...document.val,
      identity,
    });
    return this.reportPublication(response, identity);
  }
}
