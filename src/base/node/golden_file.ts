/**
 * Golden files: recorded output of a test session, compared line by line.
 *
 * @module
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

/** When this environment variable is set, the file is rewritten instead of compared. */
const REWRITE_VARIABLE = "GUAVARUN_REWRITE_GOLDEN";

/**
 * Compares the output of a session with its golden file and throws an error for the first line that differs.
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
