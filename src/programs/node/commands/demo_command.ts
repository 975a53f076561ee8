import { Command } from "clipanion";
import { EXIT_CODES_HELP } from "../../common/exit_codes.ts";
import { runDemo } from "../demo.ts";

/** Runs a complete fleet in this process and prints its progress. */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description: "run a fleet in one process, with calls, a change and a move",
    details:
      "Starts a platform log, six daemons and their upstreams on loopback ports, and stops them " +
      "at the end. " + EXIT_CODES_HELP,
    examples: [["Run the demo", "guavarun demo"]],
  });

  override execute(): Promise<number> {
    return runDemo({
      print: (line) => this.context.stdout.write(line + "\n"),
    });
  }
}
