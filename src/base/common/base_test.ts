import assert from "node:assert/strict";
import { test } from "node:test";
import { computeBackoff } from "./backoff.ts";
import { createChannel, receive, startTask, waitFor } from "./channel.ts";
import { VirtualClock } from "./clock.ts";
import { rankByRendezvous } from "./hashing.ts";
import { createRandomSource } from "./random_source.ts";

test("removing the first candidate keeps the rendezvous order of the others", () => {
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

test("backoff delays stay within their limit and spread over more than half of it", () => {
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

// Guards against daemons with consecutive seeds that draw almost the same jitter.
test("the first numbers of consecutive seeds are spread over the whole range", () => {
  const firstValues = Array.from(
    { length: 100 },
    (_, seed) => createRandomSource(seed).nextFraction(),
  );
  for (let tenth = 0; tenth < 10; tenth += 1) {
    const inTenth = firstValues.filter((value) =>
      Math.floor(value * 10) === tenth
    );
    assert.ok(inTenth.length >= 2 && inTenth.length <= 25, `${inTenth.length}`);
  }
});

test("a virtual clock runs timers in order of their due time and skips cancelled ones", () => {
  const clock = new VirtualClock();
  const order: string[] = [];
  clock.schedule(20, () => order.push(`b${clock.now()}`));
  clock.schedule(10, () => order.push(`a${clock.now()}`));
  clock.schedule(30, () => order.push("cancelled")).dispose();
  clock.advance(50);
  assert.deepEqual(order, ["a10", "b20"]);
});

test("an exception in a task is passed to onError with the name of the task", async () => {
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
