/**
 * `npm run soak`: one run for each seed. Prints a summary and the violated guarantees.
 *
 * @module
 */

import { join } from "node:path";
import { Builtins, Cli, Command, Option } from "clipanion";
import { runSoak } from "./soak.ts";

const EXIT_VIOLATIONS = 1;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description:
      "Run daemons under random faults and check what callers observe.",
    details:
      "Odd seeds inject any fault; even seeds stop several daemons at a " +
      "time and inject faults of the store, which do not excuse a lost call.",
    examples: [
      ["Run five new seeds for 20 s each", "npm run soak -- --seeds 5"],
      ["Repeat one seed", "npm run soak -- --first 7 --seeds 1"],
    ],
  });

  first = Option.String("--first", {
    description: "The first seed; derived from the current time by default",
  });
  seeds = Option.String("--seeds", "1", { description: "Number of seeds" });
  seconds = Option.String("--seconds", "20", {
    description: "How long faults are injected in each run, in seconds",
  });
  hosts = Option.String("--hosts", "4", {
    description: "Number of daemons in each run",
  });
  rate = Option.String("--rate", "25", {
    description: "Calls per second to each daemon",
  });
  folder = Option.String("--folder", "run/soak", {
    description: "Directory for settings, logs and observations",
  });

  override async execute(): Promise<number> {
    const first = this.first === undefined
      ? Math.floor(Date.now() / 1_000) % 1_000_000
      : Number(this.first);
    let violationCount = 0;
    for (let seed = first; seed < first + Number(this.seeds); seed += 1) {
      const result = await runSoak({
        seed,
        seconds: Number(this.seconds),
        hosts: Number(this.hosts),
        callsPerSecond: Number(this.rate),
        folder: join(this.folder, `seed-${seed}`),
      });
      violationCount += result.violations.length;
      this.context.stdout.write(
        `seed ${seed}: ${result.faults} faults, ${result.calls} calls, ` +
          `${result.served} served, ${result.runs} runs, ` +
          `${result.starvations} starvations, ` +
          `${result.violations.length} violations\n`,
      );
      for (const { promise, call, detail } of result.violations.slice(0, 20)) {
        this.context.stdout.write(`  ${promise} ${call ?? ""} ${detail}\n`);
      }
    }
    return violationCount === 0 ? 0 : EXIT_VIOLATIONS;
  }
}

// An exit handler kills the daemons; it does not run when a signal ends the process by default.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(EXIT_VIOLATIONS));
}

const cli = new Cli({ binaryName: "npm run soak --" });
cli.register(Builtins.HelpCommand);
cli.register(SoakCommand);
cli.runExit(process.argv.slice(2));
