import assert from "node:assert/strict";
import { test } from "node:test";
import { computeBackoff } from "./backoff.ts";
import { createChannel, receive, startTask, waitFor } from "./channel.ts";
import { VirtualClock } from "./clock.ts";
import { rankByRendezvous } from "./hashing.ts";
import { createRandomSource } from "./random_source.ts";

test("rendezvous order survives the loss of a candidate, so few keys change their owner", () => {
  const hosts = ["a1", "a2", "a3", "a4", "a5"];
  for (const key of ["k1", "k2", "k3", "k4"]) {
    const ranked = rankByRendezvous(key, hosts);
    const lost = ranked[0];
    assert.deepEqual(
      rankByRendezvous(key, hosts.filter((host) => host !== lost)),
      ranked.slice(1),
    );
  }
});

test("backoff stays under its limit, so reconnects neither synchronise nor stop", () => {
  const cases = [
    { attempt: 0, limit: 100 },
    { attempt: 3, limit: 800 },
    { attempt: 30, limit: 10_000 },
  ];
  const random = createRandomSource(7);
  for (const { attempt, limit } of cases) {
    const delays = Array.from(
      { length: 200 },
      () => computeBackoff(attempt, random),
    );
    assert.ok(delays.every((delay) => delay >= 0 && delay <= limit));
    assert.ok(Math.max(...delays) - Math.min(...delays) > limit / 2);
  }
});

test("neighbouring seeds differ at once, so that daemons do not jitter in step", () => {
  const firsts = Array.from(
    { length: 100 },
    (_, seed) => createRandomSource(seed).nextFraction(),
  );
  for (let tenth = 0; tenth < 10; tenth += 1) {
    const inTenth = firsts.filter((value) => Math.floor(value * 10) === tenth);
    assert.ok(inTenth.length >= 2 && inTenth.length <= 25, `${inTenth.length}`);
  }
});

test("a virtual clock runs timers in the order in which they are due", () => {
  const clock = new VirtualClock();
  const order: string[] = [];
  clock.schedule(20, () => order.push(`b${clock.now()}`));
  clock.schedule(10, () => order.push(`a${clock.now()}`));
  clock.schedule(30, () => order.push("cancelled")).dispose();
  clock.advance(50);
  assert.deepEqual(order, ["a10", "b20"]);
});

test("an exception in a task reaches its creator", async () => {
  const channel = createChannel<number>();
  const errors: string[] = [];
  const ended = startTask("test.step", function* () {
    const first = yield* receive(channel);
    yield* waitFor(Promise.reject(new Error(`failed after ${first}`)));
  }, { onError: (error) => errors.push(`${error.step}: ${error.message}`) });
  channel.offer(5);
  await ended;
  assert.deepEqual(errors, ["test.step: failed after 5"]);
});
