#!/usr/bin/env node
/**
 * The program `guavarun`. Only the modules of the requested command are loaded.
 *
 * @module
 */

import { EXIT_USAGE } from "../common/exit_codes.ts";
import { isServiceName } from "./service_names.ts";

const [name, ...rest] = process.argv.slice(2);

// A long-running process skips the command-line parser, which takes 8 MB of resident memory.
if (
  isServiceName(name) && rest.length === 1 && !rest[0].startsWith("-")
) {
  const { runService } = await import("./run_service.ts");
  process.exitCode = await runService(name, rest[0]);
} else {
  const { runCommandLine } = await import("./command_line.ts");
  process.exitCode = await runCommandLine(process.argv.slice(2)).catch(
    (error: unknown) => {
      console.error(String(error));
      return EXIT_USAGE;
    },
  );
}
