/** The commands that run until they receive a stop signal. */
export const SERVICE_NAMES = ["daemon", "platform", "upstream"] as const;

export type ServiceCommandName = (typeof SERVICE_NAMES)[number];

export function isServiceName(
  name: string | undefined,
): name is ServiceCommandName {
  return SERVICE_NAMES.some((known) => known === name);
}
