import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import {
  parseSettings,
  readSettingsFile,
} from "../../base/node/settings_file.ts";
import { changeDocumentSchema } from "../../features/administration/common/documents.ts";
import { daemonSettingsSchema } from "./daemon_settings.ts";
import { platformSettingsSchema } from "./platform_settings.ts";
import { upstreamSettingsSchema } from "./upstream_settings.ts";

const DAEMON = `{
  // The first host of tacoma.
  "host": "tacoma-1",
  "failureDomain": "tacoma",
  "address": "10.1.0.1",
  "platform": { "address": "10.0.0.1", "port": 7000 },
  "tokens": [
    { "sha256": "${"ab".repeat(32)}", "team": "web", "customers": ["*"] }
  ]
}`;

test("missing settings take their defaults", () => {
  const daemon = parseSettings("a.jsonc", DAEMON, daemonSettingsSchema)
    .unwrap();
  assert.equal(daemon.linkPort, 7_102);
  assert.equal(daemon.log.level, "info");
  assert.equal(daemon.limits.drainMilliseconds, 30_000);
  assert.equal(daemon.tokens[0].mayPublish, false);
  const platform = parseSettings(
    "p",
    `{"address":"::1"}`,
    platformSettingsSchema,
  ).unwrap();
  assert.equal(platform.port, 7_000);
});

test("an error names file, line, key, what was found and what is allowed", () => {
  const cases: [string, string, string][] = [
    [
      `"tacoma-1"`,
      `"Tacoma 1"`,
      `a.jsonc:3: key host: found "Tacoma 1", allowed /^[a-z0-9][a-z0-9._-]{0,62}$/`,
    ],
    [
      `"10.1.0.1"`,
      `"localhost"`,
      `a.jsonc:5: key address: found "localhost", allowed an IP address`,
    ],
    [
      `7000`,
      `70000`,
      "a.jsonc:6: key platform.port: found 70000, allowed <=65535",
    ],
    [
      `7000`,
      `7.5`,
      "a.jsonc:6: key platform.port: found 7.5, allowed a whole number",
    ],
    [
      `"host": "tacoma-1",`,
      ``,
      "a.jsonc:1: key host: found nothing, allowed a value",
    ],
    [
      `"address": "10.1`,
      `"adress": 1, "address": "10.1`,
      "a.jsonc:5: key adress: found an unknown key, allowed only known keys",
    ],
    [
      `"*"`,
      `"A*"`,
      `a.jsonc:8: key tokens.0.customers.0: found "A*", allowed`,
    ],
    [`abab`, `ABAB`, "a.jsonc:8: key tokens.0.sha256: found"],
    [
      `"host": "tacoma-1",`,
      `"host": "tacoma-1", "host": "b",`,
      "a.jsonc:3: key host stands twice in one object",
    ],
    [`{ "address"`, `[ "address"`, "a.jsonc:6: "],
  ];
  for (const [found, replacement, expected] of cases) {
    const text = DAEMON.replace(found, replacement);
    const result = parseSettings("a.jsonc", text, daemonSettingsSchema);
    assert.ok(result.err, expected);
    assert.ok(
      result.val.message.includes(expected),
      `${result.val.message} should include ${expected}`,
    );
  }
});

test("settings of the upstream stand-in outside their bounds are rejected", () => {
  const upstream = `{"service":"bib","version":"v1","address":"127.0.0.1"`;
  const cases: [string, typeof upstreamSettingsSchema, string][] = [
    [`${upstream},"slots":0}`, upstreamSettingsSchema, "key slots"],
    [`${upstream},"failureShare":1.5}`, upstreamSettingsSchema, "allowed <=1"],
    [`${upstream},"workMilliseconds":-1}`, upstreamSettingsSchema, ">=0"],
  ];
  for (const [text, schema, expected] of cases) {
    const result = parseSettings("u", text, schema);
    assert.ok(result.err && result.val.message.includes(expected), text);
  }
});

test("all example files are valid", () => {
  const files = readdirSync("examples", { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".jsonc"))
    .map((name) => join("examples", name));
  const schemaOf = (file: string) => {
    if (file.endsWith("contract.jsonc")) {
      return changeDocumentSchema;
    }
    if (file.endsWith("platform.jsonc")) {
      return platformSettingsSchema;
    }
    return /-\d\.jsonc$/.test(file)
      ? daemonSettingsSchema
      : upstreamSettingsSchema;
  };
  assert.equal(files.length, 25);
  for (const file of files) {
    const result = readSettingsFile(file, schemaOf(file));
    assert.ok(result.ok, result.err ? result.val.message : "");
  }
});
