import assert from "node:assert/strict";
import { test } from "node:test";
import { compareWithGoldenFile } from "../../../base/node/golden_file.ts";
import type { Claim, ClaimAnswer } from "./claim_client.ts";
import { chooseOwners } from "./claim_owner.ts";
import { type ClaimFleet, createClaimFleet, createKey } from "./claim_fleet.ts";
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
  readonly fleet: ClaimFleet;
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
  "a retry while the first call runs, and after it was answered": async (
    { fleet, ranked, claim, note },
  ) => {
    const first = await claim(ranked[2]);
    await claim(ranked[3]);
    await claim("b1");
    first!.complete();
    await fleet.advance(10);
    note("answered");
    await claim(ranked[0]);
    await claim("b2");
  },
  "a retry after a release, and after the outcome became unknown": async (
    { fleet, ranked, claim, note },
  ) => {
    const first = await claim("b1");
    first!.release();
    first!.complete();
    await fleet.advance(10);
    note("released");
    const second = await claim(ranked[4]);
    second!.abandon();
    await fleet.advance(10);
    note("abandoned");
    await claim("b1");
  },
  "two claims at the same time": async ({ fleet, ranked, key, note }) => {
    const kinds = await Promise.all(
      [ranked[0], ranked[1], ranked[5]].map((host) => fleet.claim(host, key)),
    );
    note(kinds.map(({ kind }) => kind).sort().join(", "));
  },
  "one owner restarted": async ({ fleet, ranked, claim, note }) => {
    (await claim(ranked[2]))!.complete();
    await fleet.advance(10);
    const other = createKey(
      fleet.clock.now(),
      findKeyWithSameOwners(fleet, ranked),
    );
    fleet.replace(ranked[0]);
    note("first owner restarted");
    await claim(ranked[3]);
    note("an unused key with the same owners");
    await claim(ranked[3], other);
  },
  "both owners restarted": async ({ fleet, ranked, claim, note }) => {
    await claim(ranked[2]);
    fleet.replace(ranked[0]);
    fleet.replace(ranked[1]);
    note("both owners restarted");
    await claim(ranked[3]);
    await fleet.advance(6_000);
    await claim(ranked[3], createKey(fleet.clock.now(), 99));
  },
  "both owners left": async ({ fleet, ranked, claim, note }) => {
    await claim(ranked[2]);
    fleet.depart(ranked[0], "left");
    fleet.depart(ranked[1], "left");
    note("both owners left");
    await claim(ranked[4]);
  },
  "a membership change seen by only one side": async (
    { fleet, ranked, claim, note },
  ) => {
    fleet.depart(ranked[0], "left", [ranked[3]]);
    note("only the claimant sees the first owner leave");
    await claim(ranked[3]);
    await claim(ranked[4]);
    fleet.depart(ranked[1], "left", [ranked[0], ranked[2]]);
    note("only two daemons see the second owner leave");
    const other = createKey(
      fleet.clock.now(),
      findKeyWithSameOwners(fleet, ranked),
    );
    await claim(ranked[4], other);
    await claim(ranked[0], other);
  },
  "a paused owner resumes after all others restarted": async (
    { fleet, ranked, claim, note },
  ) => {
    const [paused, ...others] = ranked;
    fleet.depart(paused, "dead", others);
    note("first owner paused");
    await claim(ranked[3]);
    await fleet.advance(20_000);
    const later = createKey(
      fleet.clock.now(),
      findKeyWithSameOwners(fleet, ranked),
    );
    note("20 s later, with a new key");
    await claim(ranked[3], later);
    fleet.replace(others[0]);
    others.slice(1).forEach((host) => fleet.replace(host));
    fleet.daemons.get(paused)!.presentSince = fleet.clock.now();
    note("all others restarted, first owner resumed");
    await claim(ranked[3], later);
  },
  "the two owners declare each other dead": async (
    { fleet, ranked, claim, note },
  ) => {
    const [first, second, third, fourth] = ranked;
    fleet.depart(second, "dead", [first, third]);
    fleet.depart(first, "dead", [second, fourth]);
    note("first and third on one side, second and fourth on the other");
    await claim(third);
    await claim(fourth);
  },
  "an owner that does not answer": async ({ fleet, ranked, claim, note }) => {
    fleet.cut(ranked[2], ranked[1]);
    note("second owner disconnected from the claimant");
    await claim(ranked[2]);
    await fleet.advance(10);
    await claim(ranked[3]);
  },
  "a home domain that is disconnected": async (
    { fleet, ranked, claim, note },
  ) => {
    ranked.forEach((host) => fleet.cut(host, "b1"));
    note("home domain disconnected");
    await claim("b1");
    ranked.forEach((host) => fleet.restore(host, "b1"));
    note("reconnected: nothing was claimed");
    await claim("b1");
    await claim("b1", createKey(AT, 1, "d9"));
  },
  "keys that are too old, too new or malformed": async (
    { fleet, ranked, claim },
  ) => {
    for (const offset of [-600_001, -600_000, 0, 2_000, 2_001]) {
      await claim(
        ranked[2],
        createKey(fleet.clock.now() + offset, offset + 1e6),
      );
    }
    await claim(ranked[2], "d1.not-a-uuid");
  },
  "an owner with a full table": async (
    { fleet, ranked, key, claim, note },
  ) => {
    for (let number = 200; number < 240; number += 1) {
      await fleet.claim(ranked[2], createKey(AT, number));
    }
    note("40 claims made, 10 at most per owner");
    await claim(ranked[2]);
    assert.ok(key);
  },
};

/** Finds the number of another key with the same two owners. */
function findKeyWithSameOwners(
  fleet: ClaimFleet,
  ranked: readonly string[],
): number {
  const now = fleet.clock.now();
  const hosts = [...fleet.daemons.keys()];
  const all = hosts.filter((host) => host.startsWith("a"));
  for (let number = 1_000;; number += 1) {
    const key = parseIdempotencyKey(createKey(now, number))!;
    const owners = chooseOwners(key, all);
    if (owners.join() === ranked.slice(0, 2).join()) {
      return number;
    }
  }
}

test("claims are answered as recorded under restarts, pauses, partitions and invalid keys", async () => {
  const lines: string[] = [];
  for (const [name, run] of Object.entries(SCENARIOS)) {
    lines.push(`# ${name}`);
    const key = createKey(AT, 5);
    const fleet = createClaimFleet({
      startAt: AT - 60_000,
      hosts: HOSTS,
      claimLimit: 10,
    });
    await fleet.advance(60_100);
    const homeHosts = [...HOSTS].filter(([, domain]) => domain === "d1")
      .map(([host]) => host);
    const owners = chooseOwners(parseIdempotencyKey(key)!, homeHosts);
    const ranked = [
      ...owners,
      ...homeHosts.filter((host) => !owners.includes(host)),
    ];
    const label = (host: string) =>
      ranked.includes(host) ? `daemon ${ranked.indexOf(host) + 1}` : host;
    await run({
      fleet,
      ranked,
      key,
      note: (text) => lines.push(`  -- ${text}`),
      async claim(host, other = key) {
        const answer = await fleet.claim(host, other);
        const description = homeHosts.reduce(
          (text, one) => text.replaceAll(one, label(one)),
          describe(answer),
        );
        lines.push(`  ${label(host)} claims: ${description}`);
        return answer.kind === "granted" ? answer.claim : undefined;
      },
    });
  }
  compareWithGoldenFile(GOLDEN_FILE, lines);
});
