import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import type { Claim, ClaimAnswer } from "./claim_client.ts";
import { chooseOwners } from "./claim_owner.ts";
import {
  type ClaimSession,
  createClaimSession,
  createKey,
} from "./claim_session.ts";
import { parseIdempotencyKey } from "./idempotency_key.ts";

const AT = 1_700_000_000_000;
const GOLDEN_FILE = "src/features/claim/common/golden/claims.txt";
const HOSTS = new Map<string, string>([
  ...["a1", "a2", "a3", "a4", "a5", "a6"].map((host): [string, string] => [
    host,
    "d1",
  ]),
  ["b1", "d2"],
  ["b2", "d2"],
]);

interface Scenario {
  readonly session: ClaimSession;
  /** The owners of the key, then the other daemons of the home domain. */
  readonly ranked: readonly string[];
  readonly key: string;
  claim(host: string, key?: string): Promise<Claim | undefined>;
  note(text: string): void;
}

function describe(answer: ClaimAnswer): string {
  switch (answer.kind) {
    case "granted":
      return "granted";
    case "claimed":
      return `claimed ${answer.outcome}`;
    default:
      return `${answer.kind}: ${answer.reason}`;
  }
}

const SCENARIOS: Record<string, (scenario: Scenario) => Promise<void>> = {
  "repeat while the first runs, and after it was answered": async (
    { session, ranked, claim, note },
  ) => {
    const first = await claim(ranked[2]);
    await claim(ranked[3]);
    await claim("b1");
    first!.complete();
    await session.advance(10);
    note("answered");
    await claim(ranked[0]);
    await claim("b2");
  },
  "repeat after a release, and after the outcome became unknown": async (
    { session, ranked, claim, note },
  ) => {
    const first = await claim("b1");
    first!.release();
    first!.complete();
    await session.advance(10);
    note("released");
    const second = await claim(ranked[4]);
    second!.abandon();
    await session.advance(10);
    note("abandoned");
    await claim("b1");
  },
  "two claims at the same time": async ({ session, ranked, key, note }) => {
    const kinds = await Promise.all(
      [ranked[0], ranked[1], ranked[5]].map((host) => session.claim(host, key)),
    );
    note(kinds.map(({ kind }) => kind).sort().join(", "));
  },
  "one owner restarted": async ({ session, ranked, claim, note }) => {
    (await claim(ranked[2]))!.complete();
    await session.advance(10);
    const other = createKey(
      session.clock.now(),
      sameOwners(session, ranked),
    );
    session.replace(ranked[0]);
    note("first owner restarted");
    await claim(ranked[3]);
    note("a key of the same owners that was not used");
    await claim(ranked[3], other);
  },
  "both owners replaced": async ({ session, ranked, claim, note }) => {
    await claim(ranked[2]);
    session.replace(ranked[0]);
    session.replace(ranked[1]);
    note("both owners restarted");
    await claim(ranked[3]);
    await session.advance(6_000);
    await claim(ranked[3], createKey(session.clock.now(), 99));
  },
  "both owners left": async ({ session, ranked, claim, note }) => {
    await claim(ranked[2]);
    session.depart(ranked[0], "left");
    session.depart(ranked[1], "left");
    note("both owners left");
    await claim(ranked[4]);
  },
  "a membership change seen by only one side": async (
    { session, ranked, claim, note },
  ) => {
    session.depart(ranked[0], "left", [ranked[3]]);
    note("the claimant alone sees the first owner leave");
    await claim(ranked[3]);
    await claim(ranked[4]);
    session.depart(ranked[1], "left", [ranked[0], ranked[2]]);
    note("two daemons alone see the second owner leave");
    const other = createKey(
      session.clock.now(),
      sameOwners(session, ranked),
    );
    await claim(ranked[4], other);
    await claim(ranked[0], other);
  },
  "an owner that was paused wakes after the others restarted": async (
    { session, ranked, claim, note },
  ) => {
    const [paused, ...others] = ranked;
    session.depart(paused, "dead", others);
    note("first owner paused");
    await claim(ranked[3]);
    await session.advance(20_000);
    const later = createKey(session.clock.now(), sameOwners(session, ranked));
    note("20 s later, with a new key");
    await claim(ranked[3], later);
    session.replace(others[0]);
    others.slice(1).forEach((host) => session.replace(host));
    session.daemons.get(paused)!.presentSince = session.clock.now();
    note("all others restarted, first owner awake");
    await claim(ranked[3], later);
  },
  "the two owners declare each other dead": async (
    { session, ranked, claim, note },
  ) => {
    const [first, second, third, fourth] = ranked;
    session.depart(second, "dead", [first, third]);
    session.depart(first, "dead", [second, fourth]);
    note("first and third on one side, second and fourth on the other");
    await claim(third);
    await claim(fourth);
  },
  "an owner that does not answer": async ({ session, ranked, claim, note }) => {
    session.cut(ranked[2], ranked[1]);
    note("second owner cut off from the claimant");
    await claim(ranked[2]);
    await session.advance(10);
    await claim(ranked[3]);
  },
  "a home domain that is cut off": async ({ session, ranked, claim, note }) => {
    ranked.forEach((host) => session.cut(host, "b1"));
    note("home cut off");
    await claim("b1");
    ranked.forEach((host) => session.restore(host, "b1"));
    note("restored: nothing was claimed");
    await claim("b1");
    await claim("b1", createKey(AT, 1, "d9"));
  },
  "keys that are too old, too new or malformed": async (
    { session, ranked, claim },
  ) => {
    for (const offset of [-600_001, -600_000, 0, 2_000, 2_001]) {
      await claim(
        ranked[2],
        createKey(session.clock.now() + offset, offset + 1e6),
      );
    }
    await claim(ranked[2], "d1.not-a-uuid");
  },
  "an owner with a full table": async (
    { session, ranked, key, claim, note },
  ) => {
    for (let number = 200; number < 240; number += 1) {
      await session.claim(ranked[2], createKey(AT, number));
    }
    note("40 claims made, 10 at most per owner");
    await claim(ranked[2]);
    assert.ok(key);
  },
};

/** The number of another key with the same two owners. */
function sameOwners(session: ClaimSession, ranked: readonly string[]): number {
  const now = session.clock.now();
  const hosts = [...session.daemons.keys()];
  const all = hosts.filter((host) => host.startsWith("a"));
  for (let number = 1_000;; number += 1) {
    const key = parseIdempotencyKey(createKey(now, number))!;
    const owners = chooseOwners(key, all);
    if (owners.join() === ranked.slice(0, 2).join()) {
      return number;
    }
  }
}

test("claims answer as recorded through restarts, pauses, cuts and bad keys", async () => {
  const lines: string[] = [];
  for (const [name, run] of Object.entries(SCENARIOS)) {
    lines.push(`# ${name}`);
    const key = createKey(AT, 5);
    const session = createClaimSession({
      startAt: AT - 60_000,
      hosts: HOSTS,
      claimLimit: 10,
    });
    await session.advance(60_100);
    const home = [...HOSTS].filter(([, domain]) => domain === "d1")
      .map(([host]) => host);
    const owners = chooseOwners(parseIdempotencyKey(key)!, home);
    const ranked = [
      ...owners,
      ...home.filter((host) => !owners.includes(host)),
    ];
    const label = (host: string) =>
      ranked.includes(host) ? `daemon ${ranked.indexOf(host) + 1}` : host;
    await run({
      session,
      ranked,
      key,
      note: (text) => lines.push(`  -- ${text}`),
      async claim(host, other = key) {
        const answer = await session.claim(host, other);
        const hidden = home.reduce(
          (text, one) => text.replaceAll(one, label(one)),
          describe(answer),
        );
        lines.push(`  ${label(host)} claims: ${hidden}`);
        return answer.kind === "granted" ? answer.claim : undefined;
      },
    });
  }
  compareWithGoldenFile(GOLDEN_FILE, lines);
});
