/**
 * Golden files: the recorded output of a whole session, compared line by line.
 *
 * @module
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

/** The environment variable that makes a comparison rewrite its file instead. */
const REWRITE_VARIABLE = "GUAVARUN_REWRITE_GOLDEN";

/**
 * Compares a session's output with its file and throws at the first line that differs.
 * `path` is relative to the root of the repository.
 */
export function compareWithGoldenFile(
  path: string,
  lines: readonly string[],
): void {
  if (process.env[REWRITE_VARIABLE] !== undefined) {
    mkdirSync(dirname(path), { recursive: true });
    writeFileSync(path, lines.join("\n") + "\n");
    return;
  }
  const expected = readFileSync(path, "utf8").trimEnd().split("\n");
  const length = Math.max(expected.length, lines.length);
  for (let index = 0; index < length; index += 1) {
    if (expected[index] !== lines[index]) {
      throw new Error(
        `${path}:${index + 1}: expected ${
          expected[index] ?? "(end of session)"
        }, ` +
          `got ${lines[index] ?? "(end of session)"}`,
      );
    }
  }
}
