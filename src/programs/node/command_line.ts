/**
 * The command line of `guavarun`, parsed by `clipanion`.
 *
 * @module
 */

import { Builtins, Cli, type CommandClass } from "clipanion";
import { EXIT_USAGE } from "../common/exit_codes.ts";

type CommandLoader = () => Promise<readonly CommandClass[]>;

const loadServices: CommandLoader = async () => {
  const services = await import("./commands/service_commands.ts");
  return [
    services.DaemonCommand,
    services.PlatformCommand,
    services.UpstreamCommand,
  ];
};

const loadEvacuations: CommandLoader = async () => {
  const evacuations = await import("./commands/evacuation_commands.ts");
  return [evacuations.EvacuateCommand, evacuations.RestoreCommand];
};

const COMMANDS: Readonly<Record<string, CommandLoader>> = {
  daemon: loadServices,
  publish: async () => [
    (await import("./commands/publish_command.ts")).PublishCommand,
  ],
  move: async () => [(await import("./commands/move_command.ts")).MoveCommand],
  evacuate: loadEvacuations,
  restore: loadEvacuations,
  status: async () => [
    (await import("./commands/status_command.ts")).StatusCommand,
  ],
  timeline: async () => [
    (await import("./commands/timeline_command.ts")).TimelineCommand,
  ],
  explain: async () => [
    (await import("./commands/explain_command.ts")).ExplainCommand,
  ],
  check: async () => [
    (await import("./commands/check_command.ts")).CheckCommand,
  ],
  demo: async () => [(await import("./commands/demo_command.ts")).DemoCommand],
  platform: loadServices,
  upstream: loadServices,
};

/** Runs the command and returns the exit code. */
export async function runCommandLine(
  args: readonly string[],
): Promise<number> {
  const cli = new Cli({
    binaryName: "guavarun",
    binaryLabel: "Configuration and traffic control for a service mesh",
    binaryVersion: "0.1.0",
  });
  const requested = COMMANDS[args[0] ?? ""];
  const loaders = requested === undefined
    ? new Set(Object.values(COMMANDS))
    : [requested];
  for (const load of loaders) {
    for (const command of await load()) {
      cli.register(command);
    }
  }
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  try {
    const command = cli.process([...args]);
    return await cli.run(command);
  } catch (error) {
    // Only parser errors get here; `cli.run` prints the errors of a command itself.
    console.error(cli.error(error));
    return EXIT_USAGE;
  }
}
