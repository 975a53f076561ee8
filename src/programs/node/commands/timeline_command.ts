import { writeFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import { mergeTimeline } from "../../../features/timeline/common/merge.ts";
import type { TimelineEvent } from "../../../features/timeline/common/timeline_event.ts";
import {
  formatTimelinePage,
  formatTimelineText,
} from "../../../features/timeline/common/timeline_output.ts";
import {
  readLogFile,
  requestEvents,
} from "../../../features/timeline/node/timeline_sources.ts";
import { parseDuration } from "../../common/duration.ts";
import {
  EXIT_CODES_HELP,
  EXIT_NOT_RUN,
  EXIT_SUCCESS,
  EXIT_USAGE,
} from "../../common/exit_codes.ts";

/** Merges the events of many processes into one timeline. */
export class TimelineCommand extends Command {
  static override paths = [["timeline"]];
  static override usage = Command.Usage({
    description: "show the events of many processes in one order",
    details:
      "Reads log files and the most recent events of daemons. Sources that cannot be read are " +
      "reported, and the exit code is then 3. " + EXIT_CODES_HELP,
    examples: [
      ["Merge log files", "guavarun timeline run/*.log --move move-7"],
      [
        "Ask two daemons and write a page",
        "guavarun timeline --daemon 10.1.0.1:7101 --daemon 10.2.0.1:7101 --html timeline.html",
      ],
    ],
  });
  files = Option.Rest({ name: "LOG-FILES" });
  daemons = Option.Array("--daemon", [], {
    description: "ADDRESS:PORT of a daemon; the token is in GUAVARUN_TOKEN",
  });
  change = Option.String("--change");
  move = Option.String("--move");
  call = Option.String("--call");
  host = Option.String("--host");
  failureDomain = Option.String("--failure-domain");
  clockError = Option.String("--clock-error", "50ms", {
    description: "largest difference between the clocks of two hosts",
  });
  html = Option.String("--html", { description: "write a page to this file" });
  json = Option.Boolean("--json", false, {
    description: "one event per line as JSON",
  });

  override async execute(): Promise<number> {
    const clockErrorMilliseconds = parseDuration(this.clockError);
    if (
      clockErrorMilliseconds === undefined ||
      this.files.length + this.daemons.length === 0
    ) {
      this.context.stderr.write(
        "Name log files or daemons, and a clock error such as 50ms\n",
      );
      return EXIT_USAGE;
    }
    const { events, unreadable } = await this.readSources();
    const { change, move, call, host, failureDomain } = this;
    const merged = mergeTimeline(events, {
      clockErrorMilliseconds,
      filter: { change, move, call, host, failureDomain },
    });
    if (this.html !== undefined) {
      writeFileSync(
        this.html,
        formatTimelinePage(merged, clockErrorMilliseconds),
      );
    } else {
      this.context.stdout.write(
        this.json
          ? merged.map((event) => JSON.stringify(event) + "\n").join("")
          : formatTimelineText(merged),
      );
    }
    return unreadable === 0 ? EXIT_SUCCESS : EXIT_NOT_RUN;
  }

  private async readSources() {
    const events: TimelineEvent[] = [];
    let unreadable = 0;
    const token = process.env.GUAVARUN_TOKEN ?? "";
    const reads = [
      ...this.files.map(async (file) =>
        (await readLogFile(file)).map((found) => found.events)
      ),
      ...this.daemons.map((address) => requestEvents(address, token)),
    ];
    for (const result of await Promise.all(reads)) {
      if (result.err) {
        unreadable += 1;
        this.context.stderr.write(result.val.message + "\n");
      } else {
        for (const event of result.val) {
          events.push(event);
        }
      }
    }
    return { events, unreadable };
  }
}
