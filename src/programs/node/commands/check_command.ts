import { Command, Option } from "clipanion";
import type { GenericSchema } from "valibot";
import { readSettingsFile } from "../../../base/node/settings_file.ts";
import {
  EXIT_CODES_HELP,
  EXIT_REFUSED,
  EXIT_SUCCESS,
} from "../../common/exit_codes.ts";

const SCHEMAS: Readonly<Record<string, () => Promise<GenericSchema>>> = {
  "change": async () =>
    (await import("../../../features/administration/common/documents.ts"))
      .changeDocumentSchema,
  "daemon": async () =>
    (await import("../../common/daemon_settings.ts")).daemonSettingsSchema,
  "platform": async () =>
    (await import("../../common/platform_settings.ts")).platformSettingsSchema,
  "upstream": async () =>
    (await import("../../common/upstream_settings.ts")).upstreamSettingsSchema,
};

/** Validates a settings file or a change document without publishing it. */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "check settings or a configuration document",
    details:
      "Publishes nothing and contacts no daemon, so it cannot check references to objects that are " +
      "already published. " + EXIT_CODES_HELP,
    examples: [
      ["Check a document", "guavarun check examples/hollister/contract.jsonc"],
      [
        "Check settings of a known kind",
        "guavarun check --kind daemon tacoma-1.jsonc",
      ],
    ],
  });
  file = Option.String({ name: "FILE" });
  kind = Option.String("--kind", {
    description:
      "change, daemon, platform or upstream; by default derived from the keys of the file",
  });
  json = Option.Boolean("--json", false);

  override async execute(): Promise<number> {
    const kind = this.kind ?? await guessKind(this.file);
    const load = SCHEMAS[kind];
    if (load === undefined) {
      this.context.stderr.write(`--kind ${kind} is unknown\n`);
      return EXIT_REFUSED;
    }
    const result = readSettingsFile(this.file, await load());
    const problems = result.err ? result.val.message.split("\n") : [];
    this.context.stdout.write(
      this.json
        ? JSON.stringify({ file: this.file, kind, problems }) + "\n"
        : [...problems, `${this.file}: ${kind}, ${problems.length} problems`]
          .join("\n") + "\n",
    );
    return problems.length === 0 ? EXIT_SUCCESS : EXIT_REFUSED;
  }
}

async function guessKind(file: string): Promise<string> {
  const { looseObject } = await import("valibot");
  const parsed = readSettingsFile(file, looseObject({}));
  const keys = parsed.ok ? Object.keys(parsed.val) : [];
  if (keys.includes("upsert") || keys.includes("remove")) {
    return "change";
  }
  if (keys.includes("service")) {
    return "upstream";
  }
  return keys.includes("host") ? "daemon" : "platform";
}
