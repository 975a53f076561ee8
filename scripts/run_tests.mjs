// Runs every compiled test with Node's test runner. Tests that KNOWN-RED.txt lists are
// run and printed, but do not change the verdict.
import { readdirSync, readFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const KNOWN_RED_ENTRY = /^test: (\S+\.ts) :: (.+)$/;
const CONCURRENT_FILES = 4;

function findTests(directory, filter) {
  return readdirSync(directory, { recursive: true })
    .filter((name) => name.endsWith("_test.js") && name.includes(filter))
    .map((name) => resolve(join(directory, name)))
    .sort();
}

function readKnownRed() {
  return readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .map((line) => KNOWN_RED_ENTRY.exec(line))
    .filter((match) => match !== null)
    .map(([, file, name]) => ({ file, name }));
}

function isKnownRed(knownRed, failure) {
  return knownRed.some(({ file, name }) =>
    failure.name === name &&
    failure.file?.replace(/\.js$/, ".ts").endsWith(
      file.replace(/^src\//, "dist/"),
    )
  );
}

const files = findTests("dist", process.argv[2] ?? "");
if (files.length === 0) {
  console.error("no compiled tests found in dist");
  process.exit(1);
}
const knownRed = readKnownRed();
let passed = 0;
let failed = 0;
let red = 0;
const stream = run({ files, concurrency: CONCURRENT_FILES });
stream.on("test:pass", () => passed += 1);
stream.on("test:fail", (failure) => {
  // A parent fails because of its subtests; only the subtests are judged.
  if (failure.details?.error?.failureType === "subtestsFailed") {
    return;
  }
  if (isKnownRed(knownRed, failure)) {
    red += 1;
    console.log(`known red, not part of the verdict: ${failure.name}`);
  } else {
    failed += 1;
  }
});
stream.compose(new spec()).pipe(process.stdout);
stream.on("end", () => {
  console.log(`${passed} passed, ${failed} failed, ${red} skipped`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
});
