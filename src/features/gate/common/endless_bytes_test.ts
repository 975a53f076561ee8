import assert from "node:assert/strict";
import { describe, test, type TestContext } from "node:test";
import { createResponseDecoder } from "./response_decoder.ts";

/** One message of a link: a larger answer reaches no caller on another host. */
const LARGEST_ANSWER_BYTES = 4 * 1024 * 1024;
const LARGEST_HEADER_BYTES = 64 * 1024;
const HEADER_ALLOWANCE_BYTES = 4 * 1024;
/**
 * In pieces of one byte each byte is searched with the rest of a delimiter of four bytes. It is copied
 * into a section that grows twofold or a block, and into the whole body.
 */
const WORK_PER_BYTE = 8;
/** Of the first pieces, that are smaller than a section that grows. */
const LEAST_WORK = 1_024;
const PIECE_BYTES = 16 * 1024;

const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

interface EndlessCase {
  readonly name: string;
  readonly start: string;
  /** What follows without end. */
  readonly unit: string;
  /** How many bytes may be read before they are known to be no answer. */
  readonly within: number;
  readonly reason: RegExp;
}

const CASES: readonly EndlessCase[] = [
  {
    name: "one endless header line",
    start: "HTTP/1.1 200 OK\r\nX-Long: ",
    unit: "a",
    within: LARGEST_HEADER_BYTES,
    reason: /header is too long/,
  },
  {
    name: "endless header lines",
    start: "HTTP/1.1 200 OK\r\n",
    unit: "X-Line: a\r\n",
    within: LARGEST_HEADER_BYTES,
    reason: /header is too long/,
  },
  {
    name: "an endless status line",
    start: "HTTP/1.1 200 ",
    unit: "OK ",
    within: LARGEST_HEADER_BYTES,
    reason: /header is too long/,
  },
  {
    name: "bytes of another protocol",
    start: "",
    unit: "\x16\x03\x01 no response",
    within: 0,
    reason: /status line is malformed/,
  },
  {
    name: "line ends",
    start: "",
    unit: "\r\n",
    within: 0,
    reason: /status line is malformed/,
  },
  {
    name: "endless interim responses",
    start: "",
    unit: "HTTP/1.1 100 Continue\r\n\r\n",
    within: LARGEST_HEADER_BYTES,
    reason: /too many interim responses/,
  },
  {
    name: "endless chunks",
    start: CHUNKED,
    unit: `1000\r\n${"c".repeat(0x1000)}\r\n`,
    within: LARGEST_ANSWER_BYTES,
    reason: /body is too long/,
  },
  {
    name: "endless chunks of one byte",
    start: CHUNKED,
    unit: "1\r\nc\r\n",
    within: LARGEST_ANSWER_BYTES,
    reason: /body is too long/,
  },
  {
    name: "endless chunks with long extensions",
    start: CHUNKED,
    unit: `1;${"x".repeat(1_000)}\r\nc\r\n`,
    within: LARGEST_ANSWER_BYTES,
    reason: /body is too long/,
  },
  {
    name: "an endless chunk line",
    start: `${CHUNKED}1;`,
    unit: "x",
    within: LARGEST_HEADER_BYTES,
    reason: /chunk line is too long/,
  },
  {
    name: "an endless line in a trailer",
    start: `${CHUNKED}0\r\nX-Long: `,
    unit: "a",
    within: LARGEST_HEADER_BYTES,
    reason: /trailer is too long/,
  },
  {
    name: "an endless trailer",
    start: `${CHUNKED}0\r\n`,
    unit: "X-Line: a\r\n",
    within: LARGEST_HEADER_BYTES,
    reason: /trailer is too long/,
  },
  {
    name: "an endless body up to the end of the connection",
    start: "HTTP/1.1 200 OK\r\n\r\n",
    unit: "b",
    within: LARGEST_ANSWER_BYTES,
    reason: /body is too long/,
  },
  {
    name: "a body of a huge length",
    start: "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
    unit: "b",
    within: 0,
    reason: /body is too long/,
  },
];

/** Counts the bytes that buffers copy and search while a test runs. */
function countWork(context: TestContext) {
  const work = { bytes: 0 };
  const { concat, from } = Buffer;
  const { copy, indexOf } = Buffer.prototype;
  const count = <Given extends unknown[]>(
    original: (...given: Given) => Buffer,
  ) =>
  (...given: Given): Buffer => {
    const result = Reflect.apply(original, Buffer, given);
    work.bytes += result.length;
    return result;
  };
  // Mocks of the test runner keep every call.
  Object.assign(Buffer, { concat: count(concat), from: count(from) });
  Object.assign(Buffer.prototype, {
    copy(this: Buffer, ...given: unknown[]) {
      const copied = Reflect.apply(copy, this, given) as number;
      work.bytes += copied;
      return copied;
    },
    indexOf(this: Buffer, ...given: unknown[]) {
      const found = Reflect.apply(indexOf, this, given) as number;
      const start = typeof given[1] === "number" ? given[1] : 0;
      work.bytes += (found < 0 ? this.length : found) - start;
      return found;
    },
  });
  context.after(() => {
    Object.assign(Buffer, { concat, from });
    Object.assign(Buffer.prototype, { copy, indexOf });
  });
  return work;
}

function feed(
  bytes: Buffer,
  pieceBytes: number,
  check: (received: number) => void = () => {},
): readonly Buffer[] {
  const decoder = createResponseDecoder({ isHeadRequest: () => false });
  const bodies: Buffer[] = [];
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    decoder.push(bytes.subarray(start, start + pieceBytes));
    let step = decoder.next();
    for (; step.type === "response"; step = decoder.next()) {
      bodies.push(step.response.body);
    }
    assert.equal(step.type, "more");
    check(Math.min(bytes.length, start + pieceBytes));
  }
  return bodies;
}

function checkWork(work: { readonly bytes: number }, received: number): void {
  if (work.bytes > WORK_PER_BYTE * received + LEAST_WORK) {
    assert.fail(`${work.bytes} bytes copied and searched for ${received}`);
  }
}

describe("bytes without end", () => {
  for (const { name, start, unit, within, reason } of CASES) {
    test(`${name}: the response is given up within its limit`, (context) => {
      const piece = Buffer.from(
        unit.repeat(Math.ceil(PIECE_BYTES / unit.length)),
      );
      const first = Buffer.from(start);
      const work = countWork(context);
      const decoder = createResponseDecoder({ isHeadRequest: () => false });
      let received = first.length;
      decoder.push(first);
      let step = decoder.next();
      let largestHeld = 0;
      const most = within + HEADER_ALLOWANCE_BYTES + 2 * piece.length;
      while (step.type === "more" && received < most) {
        decoder.push(piece);
        received += piece.length;
        step = decoder.next();
        largestHeld = Math.max(largestHeld, decoder.heldBytes);
      }
      assert.equal(step.type, "malformed", `after ${received} bytes`);
      assert.match(step.type === "malformed" ? step.reason : "", reason);
      checkWork(work, received);
      assert.ok(
        largestHeld <= most + LARGEST_HEADER_BYTES,
        `${largestHeld} bytes held`,
      );
      assert.equal(decoder.heldBytes, 0);
    });
  }
});

describe("work on a response that arrives in small pieces", () => {
  const header = `HTTP/1.1 200 OK\r\n${"X-Line: abcdef\r\n".repeat(3_500)}`;
  const text = "t".repeat(300_000);
  const chunk = "t".repeat(1_000);
  const WHOLE: readonly (readonly [string, string, string])[] = [
    ["a long header", `${header}Content-Length: 1\r\n\r\n1`, "1"],
    [
      "a body with a length",
      `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
      text,
    ],
    [
      "a body in chunks",
      `${CHUNKED}${`3e8\r\n${chunk}\r\n`.repeat(300)}0\r\nX-End: 1\r\n\r\n`,
      text,
    ],
    [
      "a body in chunks of one byte",
      `${CHUNKED}${"1\r\nt\r\n".repeat(300_000)}0\r\n\r\n`,
      text,
    ],
  ];
  for (const [name, sent, body] of WHOLE) {
    for (const pieceBytes of [1, 100, 1_400]) {
      test(`${name} in pieces of ${pieceBytes} bytes takes work in proportion to its length`, (context) => {
        const bytes = Buffer.from(sent);
        const work = countWork(context);
        const bodies = feed(
          bytes,
          pieceBytes,
          (received) => checkWork(work, received),
        );
        assert.deepEqual(bodies.map(String), [body]);
      });
    }
  }

  test("a header line of blanks takes work in proportion to its length", () => {
    const blanks = " ".repeat(60_000);
    const startedAt = process.cpuUsage();
    const bodies = feed(
      Buffer.from(
        `HTTP/1.1 200 OK\r\nX-Blanks: a${blanks}b\r\nContent-Length: 1\r\n\r\n1`,
      ),
      PIECE_BYTES,
    );
    const { user } = process.cpuUsage(startedAt);
    assert.equal(bodies.length, 1);
    // In linear time it takes less than a millisecond, in quadratic time seconds.
    assert.ok(user < 500_000, `${user} us of processor time`);
  });

  test("the largest answer is whole", () => {
    const body = "l".repeat(LARGEST_ANSWER_BYTES - 256 * 1024);
    const sent = Buffer.from(
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    assert.deepEqual(
      feed(sent, PIECE_BYTES).map(({ length }) => length),
      [body.length],
    );
  });
});
