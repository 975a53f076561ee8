// Runs every compiled test with Node's test runner. Failures of tests that KNOWN-RED.txt lists are
// printed, but do not affect the exit code.
import { readdirSync, readFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const KNOWN_RED_ENTRY = /^test: (\S+\.ts) :: (.+)$/;
const CONCURRENT_FILES = 4;
// Each of these files starts a fleet of about 10 processes.
const CONCURRENT_PROCESS_FILES = 2;
// A failed setup can leave a listener open, which keeps the process of a test file running forever.
// The slowest file takes two minutes on an otherwise idle machine.
const FILE_TIMEOUT_MS = 600_000;

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
      `dist/${file}`,
    )
  );
}

const files = findTests("dist", process.argv[2] ?? "");
if (files.length === 0) {
  console.error("no compiled tests found in dist");
  process.exit(1);
}
/** Runs test files; resolves when the last test has ended. */
function runFiles(files, concurrency, counts) {
  if (files.length === 0) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const stream = run({ files, concurrency, timeout: FILE_TIMEOUT_MS });
    stream.on("test:pass", () => counts.passed += 1);
    stream.on("test:fail", (failure) => {
      // Only subtests are counted, not the parent that fails because of them.
      if (failure.details?.error?.failureType === "subtestsFailed") {
        return;
      }
      if (isKnownRed(knownRed, failure)) {
        counts.knownRed += 1;
        console.log(`known red, not part of the verdict: ${failure.name}`);
      } else {
        counts.failed += 1;
      }
    });
    stream.on("end", resolve);
    stream.compose(new spec()).pipe(process.stdout, { end: false });
  });
}

const knownRed = readKnownRed();
const counts = { passed: 0, failed: 0, knownRed: 0 };
const isProcessTest = (file) => file.endsWith("_process_test.js");
await runFiles(
  files.filter((file) => !isProcessTest(file)),
  CONCURRENT_FILES,
  counts,
);
await runFiles(files.filter(isProcessTest), CONCURRENT_PROCESS_FILES, counts);
console.log(
  `${counts.passed} passed, ${counts.failed} failed, ${counts.knownRed} skipped`,
);
process.exitCode = counts.failed === 0 && counts.passed > 0 ? 0 : 1;
