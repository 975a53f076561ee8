/**
 * Runs a measurement by name and prints its tables: `npm run measure -- moves --seeds 3`.
 *
 * @module
 */

import { Builtins, Cli, Command, Option, UsageError } from "clipanion";
import { MEASUREMENTS, type MeasurementTable } from "./measurements.ts";

class MeasureCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: `Run a measurement: ${Object.keys(MEASUREMENTS).join(", ")}`,
  });

  name = Option.String();
  seeds = Option.String("--seeds", "3", { description: "Runs of each case" });
  firstSeed = Option.String("--first-seed", "1", {
    description: "The seed of the first run",
  });
  filter = Option.String("--filter", "", {
    description: "Only cases whose name contains this text",
  });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  override async execute(): Promise<number> {
    const measure = MEASUREMENTS[this.name];
    if (measure === undefined) {
      throw new UsageError(
        `Unknown measurement ${this.name}; known are ${
          Object.keys(MEASUREMENTS).join(", ")
        }`,
      );
    }
    const tables = await measure({
      seeds: parseCount(this.seeds, "--seeds"),
      firstSeed: parseCount(this.firstSeed, "--first-seed"),
      filter: this.filter,
    });
    const text = this.json
      ? JSON.stringify(tables, undefined, 2)
      : tables.map(formatTable).join("\n\n");
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}

function parseCount(text: string, option: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1) {
    throw new UsageError(`${option} must be a whole number of at least 1`);
  }
  return count;
}

function formatTable({ title, rows }: MeasurementTable): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = rows.map((row) =>
    columns.map((column) => String(row[column] ?? ""))
  );
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((row) => row[index].length))
  );
  const formatLine = (items: readonly string[]) =>
    items.map((item, index) => item.padEnd(widths[index])).join("  ").trimEnd();
  return [title, formatLine(columns), ...cells.map(formatLine)].join("\n");
}

const cli = new Cli({ binaryName: "measure" });
cli.register(Builtins.HelpCommand);
cli.register(MeasureCommand);
process.exitCode = await cli.run(process.argv.slice(2));
