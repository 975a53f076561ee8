/**
 * `npm run soak`: one run for each seed, with a line of figures and the broken promises.
 *
 * @module
 */

import { join } from "node:path";
import { Builtins, Cli, Command, Option } from "clipanion";
import { runSoak } from "./soak.ts";

const EXIT_BROKEN = 1;

class SoakCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Run daemons under drawn faults and check what callers see.",
    details: "Odd seeds draw any fault; even seeds stop several daemons at a " +
      "time, with faults of the store and nothing that excuses a lost call.",
    examples: [
      ["Five fresh seeds of 20 s", "npm run soak -- --seeds 5"],
      ["One seed again", "npm run soak -- --first 7 --seeds 1"],
    ],
  });

  first = Option.String("--first", {
    description: "The first seed; the time of day when absent",
  });
  seeds = Option.String("--seeds", "1", { description: "How many seeds" });
  seconds = Option.String("--seconds", "20", {
    description: "How long faults come in each run",
  });
  hosts = Option.String("--hosts", "4", { description: "Daemons in each run" });
  rate = Option.String("--rate", "25", {
    description: "Calls a second to each daemon",
  });
  folder = Option.String("--folder", "run/soak", {
    description: "Where settings, logs and observations are kept",
  });

  override async execute(): Promise<number> {
    const first = this.first === undefined
      ? Math.floor(Date.now() / 1_000) % 1_000_000
      : Number(this.first);
    let broken = 0;
    for (let seed = first; seed < first + Number(this.seeds); seed += 1) {
      const result = await runSoak({
        seed,
        seconds: Number(this.seconds),
        hosts: Number(this.hosts),
        callsPerSecond: Number(this.rate),
        folder: join(this.folder, `seed-${seed}`),
      });
      broken += result.violations.length;
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
    return broken === 0 ? 0 : EXIT_BROKEN;
  }
}

// The daemons end with this process, but not if a signal ends it at once.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(EXIT_BROKEN));
}

const cli = new Cli({ binaryName: "npm run soak --" });
cli.register(Builtins.HelpCommand);
cli.register(SoakCommand);
cli.runExit(process.argv.slice(2));
