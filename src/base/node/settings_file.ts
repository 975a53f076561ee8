/**
 * Reads settings from JSON with comments. An error names the file, the line, the key, the value found and the
 * values allowed.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import {
  findNodeAtLocation,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import * as valibot from "valibot";
import { Err, Ok, type Result } from "../common/result.ts";
import { describeError, StepError } from "../common/step_error.ts";

const READ_STEP = "settings.read";

/** Descriptions of allowed values for issue types where valibot gives none or an unreadably long pattern. */
const EXPECTATION_BY_ISSUE_TYPE: Readonly<Record<string, string>> = {
  integer: "a whole number",
  ip: "an IP address",
};

/** Reads and validates a settings file. The error message lists all problems, one per line. */
export function readSettingsFile<const Schema extends valibot.GenericSchema>(
  file: string,
  schema: Schema,
): Result<valibot.InferOutput<Schema>, StepError> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return Err(
      new StepError(READ_STEP, `Cannot read ${file}: ${describeError(error)}`, {
        outcome: "not-run",
      }),
    );
  }
  return parseSettings(file, text, schema);
}

/** Parses and validates the text of a settings file. `file` is used only in error messages. */
export function parseSettings<const Schema extends valibot.GenericSchema>(
  file: string,
  text: string,
  schema: Schema,
): Result<valibot.InferOutput<Schema>, StepError> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || tree === undefined) {
    const lines = errors.map((error) =>
      `${file}:${lineOf(text, error.offset)}: ${
        printParseErrorCode(error.error)
      }`
    );
    return createReadError(
      lines.length > 0 ? lines : [`${file}:1: the file is empty`],
    );
  }
  const duplicateKeys = findDuplicateKeys(tree);
  if (duplicateKeys.length > 0) {
    return createReadError(
      duplicateKeys.map((node) =>
        `${file}:${
          lineOf(text, node.offset)
        }: key ${node.value} stands twice in one object`
      ),
    );
  }
  const checked = valibot.safeParse(schema, toValue(tree));
  if (checked.success) {
    return Ok(checked.output);
  }
  return createReadError(
    checked.issues.map((issue) => describeIssue(issue, { file, text, tree })),
  );
}

interface SettingsSource {
  readonly file: string;
  readonly text: string;
  readonly tree: Node;
}

function describeIssue(
  issue: valibot.BaseIssue<unknown>,
  source: SettingsSource,
): string {
  const path = (issue.path ?? []).map((item) => item.key as string | number);
  const key = path.length > 0 ? path.join(".") : "(root)";
  const { found, allowed } = describeMismatch(issue);
  return `${source.file}:${
    lineOfPath(path, source)
  }: key ${key}: found ${found}, allowed ${allowed}`;
}

/** Translates issues that valibot words for programmers for operators. */
function describeMismatch(issue: valibot.BaseIssue<unknown>) {
  if (issue.type === "strict_object" && issue.expected === "never") {
    return { found: "an unknown key", allowed: "only known keys" };
  }
  if (issue.type === "strict_object" && issue.received === "undefined") {
    return { found: "nothing", allowed: "a value" };
  }
  const allowed = EXPECTATION_BY_ISSUE_TYPE[issue.type] ?? issue.expected ??
    issue.message;
  return { found: issue.received, allowed };
}

/** Returns the line of the deepest part of the path that exists in the file. */
function lineOfPath(
  path: readonly (string | number)[],
  source: SettingsSource,
): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(source.tree, path.slice(0, length));
    if (node !== undefined) {
      return lineOf(source.text, node.offset);
    }
  }
  return lineOf(source.text, source.tree.offset);
}

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

function createReadError<T>(lines: readonly string[]): Result<T, StepError> {
  return Err(
    new StepError(READ_STEP, lines.join("\n"), { outcome: "not-run" }),
  );
}

function findDuplicateKeys(node: Node): Node[] {
  const children = node.children ?? [];
  const repeated: Node[] = [];
  if (node.type === "object") {
    const seen = new Set<string>();
    for (const key of children.map((property) => property.children![0])) {
      if (seen.has(key.value)) {
        repeated.push(key);
      }
      seen.add(key.value);
    }
  }
  return [...repeated, ...children.flatMap(findDuplicateKeys)];
}

function toValue(node: Node): unknown {
  switch (node.type) {
    case "object":
      return Object.fromEntries(
        (node.children ?? []).map((property) => [
          property.children![0].value,
          toValue(property.children![1]),
        ]),
      );
    case "array":
      return (node.children ?? []).map(toValue);
    default:
      return node.value;
  }
}
