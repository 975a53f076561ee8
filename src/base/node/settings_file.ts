/**
 * Settings in JSON with comments. An error names the file, the line, the key, what was found
 * and what is allowed.
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

/** What is allowed where valibot itself states no expectation or a pattern too long to read. */
const ALLOWED_BY_TYPE: Readonly<Record<string, string>> = {
  integer: "a whole number",
  ip: "an IP address",
};

/** Reads and checks a settings file. All problems are in the message, one per line. */
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

/** Checks the text of a settings file; `file` appears in messages only. */
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
    return refuse(lines.length > 0 ? lines : [`${file}:1: the file is empty`]);
  }
  const repeated = findRepeatedKeys(tree);
  if (repeated.length > 0) {
    return refuse(
      repeated.map((node) =>
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
  return refuse(
    checked.issues.map((issue) => describeIssue(issue, { file, text, tree })),
  );
}

interface Source {
  readonly file: string;
  readonly text: string;
  readonly tree: Node;
}

function describeIssue(
  issue: valibot.BaseIssue<unknown>,
  source: Source,
): string {
  const path = (issue.path ?? []).map((item) => item.key as string | number);
  const key = path.length > 0 ? path.join(".") : "(root)";
  const { found, allowed } = describeMismatch(issue);
  return `${source.file}:${
    lineOfPath(path, source)
  }: key ${key}: found ${found}, allowed ${allowed}`;
}

/** Puts issues that valibot words for programmers into words for operators. */
function describeMismatch(issue: valibot.BaseIssue<unknown>) {
  if (issue.type === "strict_object" && issue.expected === "never") {
    return { found: "an unknown key", allowed: "only known keys" };
  }
  if (issue.type === "strict_object" && issue.received === "undefined") {
    return { found: "nothing", allowed: "a value" };
  }
  const allowed = ALLOWED_BY_TYPE[issue.type] ?? issue.expected ??
    issue.message;
  return { found: issue.received, allowed };
}

/** The line of the deepest part of the path that exists in the file. */
function lineOfPath(
  path: readonly (string | number)[],
  source: Source,
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

function refuse<T>(lines: readonly string[]): Result<T, StepError> {
  return Err(
    new StepError(READ_STEP, lines.join("\n"), { outcome: "not-run" }),
  );
}

function findRepeatedKeys(node: Node): Node[] {
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
  return [...repeated, ...children.flatMap(findRepeatedKeys)];
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
