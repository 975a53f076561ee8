import { Command, Option } from "clipanion";
import { explainRequest } from "../../../features/timeline/common/explanation.ts";
import { mergeTimeline } from "../../../features/timeline/common/merge.ts";
import { formatTimelineText } from "../../../features/timeline/common/timeline_output.ts";
import { readLogFiles } from "../../../features/timeline/node/timeline_sources.ts";
import { parseDuration } from "../../common/duration.ts";
import {
  EXIT_CODES_HELP,
  EXIT_NOT_RUN,
  EXIT_SUCCESS,
  EXIT_USAGE,
} from "../../common/exit_codes.ts";

/** Explains the outcome of one request from log files. */
export class ExplainCommand extends Command {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "explain the outcome of a request",
    details:
      "Reads log files of daemons and prints the lines about the request in one order, then the " +
      "decision, the information it was based on and the age of that information. Lines may be " +
      "prefixed with the fields of a log collector. The exit code is 3 when no line names the " +
      "request or a file cannot be read. " + EXIT_CODES_HELP,
    examples: [
      [
        "Explain a request from the logs of all hosts",
        "guavarun explain 9c41d07be2a35f68 run/*.log",
      ],
    ],
  });
  request = Option.String({ name: "REQUEST-ID" });
  files = Option.Rest({ name: "LOG-FILES" });
  clockError = Option.String("--clock-error", "50ms", {
    description: "largest difference between the clocks of two hosts",
  });
  json = Option.Boolean("--json", false, {
    description: "the explanation as one JSON object",
  });

  override async execute(): Promise<number> {
    const clockErrorMilliseconds = parseDuration(this.clockError);
    if (clockErrorMilliseconds === undefined || this.files.length === 0) {
      this.context.stderr.write(
        "Name a request, log files, and a clock error such as 50ms\n",
      );
      return EXIT_USAGE;
    }
    const { events, failures } = await readLogFiles(this.files);
    for (const { message } of failures) {
      this.context.stderr.write(message + "\n");
    }
    const explanation = explainRequest(
      mergeTimeline(events, { clockErrorMilliseconds }),
      this.request,
    );
    this.context.stdout.write(
      this.json
        ? JSON.stringify(explanation) + "\n"
        : formatTimelineText(explanation.events) +
          explanation.findings.map((finding) => `${finding}\n`).join(""),
    );
    return failures.length === 0 && explanation.events.length > 0
      ? EXIT_SUCCESS
      : EXIT_NOT_RUN;
  }
}
