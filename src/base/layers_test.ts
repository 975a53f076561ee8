import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve, sep } from "node:path";
import { test } from "node:test";

const LAYERS = ["base", "world", "features", "programs"];
const FEATURES = [
  "link",
  "log",
  "fold",
  "membership",
  "distribution",
  "table",
  "admission",
  "claim",
  "move",
  "routing",
  "attempt",
  "administration",
  "timeline",
  "operator",
  "account",
  "evacuation",
  "gate",
  "rollout",
  "fleet",
  "placement",
  "ingress",
];
const IMPORT = /from "(\.[^"]+)"/g;
const SOURCE = resolve("src");

interface ModuleLocation {
  readonly layer: string;
  readonly feature: string | undefined;
  readonly isPure: boolean;
}

function locateModule(file: string): ModuleLocation {
  const parts = relative(SOURCE, file).split(sep);
  return {
    layer: parts[0],
    feature: parts[0] === "features" ? parts[1] : undefined,
    isPure: parts.includes("common"),
  };
}

function findViolation(
  from: ModuleLocation,
  to: ModuleLocation,
): string | undefined {
  if (!LAYERS.includes(to.layer)) {
    return "imports from outside the layers";
  }
  if (LAYERS.indexOf(to.layer) > LAYERS.indexOf(from.layer)) {
    return "imports a higher layer";
  }
  if (from.isPure && !to.isPure) {
    return "imports I/O from pure code";
  }
  if (
    from.feature !== undefined && to.feature !== undefined &&
    from.feature !== to.feature
  ) {
    if (FEATURES.indexOf(to.feature) > FEATURES.indexOf(from.feature)) {
      return "imports a later feature";
    }
    if (!to.isPure) {
      return "imports the I/O of another feature";
    }
  }
  return undefined;
}

test("no module imports a higher layer, a later feature, another feature's I/O or, from pure code, any I/O", () => {
  const violations: string[] = [];
  const files = readdirSync(SOURCE, { recursive: true, encoding: "utf8" })
    .filter((name) =>
      name.endsWith(".ts") && name !== "mod.ts" && !name.endsWith("_test.ts")
    )
    .map((name) => join(SOURCE, name));
  for (const file of files) {
    for (const [, target] of readFileSync(file, "utf8").matchAll(IMPORT)) {
      const violation = findViolation(
        locateModule(file),
        locateModule(resolve(dirname(file), target)),
      );
      if (violation !== undefined) {
        violations.push(`${relative(SOURCE, file)} ${violation}: ${target}`);
      }
    }
  }
  assert.deepEqual(violations, []);
  assert.ok(files.length > 20);
});
