import assert from "node:assert/strict";
import { describe, test, type TestContext } from "node:test";
import { createResponseDecoder } from "./response_decoder.ts";

/** The size limit of a link message; a larger response could not be sent to a caller on another host. */
const MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;
const MAXIMUM_HEADER_BYTES = 64 * 1024;
const HEADER_ALLOWANCE_BYTES = 4 * 1024;
/**
 * With pieces of one byte, the delimiter search covers each byte again for up to four bytes. Each byte is
 * copied into a block or into a section that doubles in size, and then into the whole body.
 */
const MAXIMUM_WORK_PER_BYTE = 8;
/** The allowance for the first pieces, which are smaller than the initial section. */
const INITIAL_WORK_BYTES = 1_024;
const PIECE_BYTES = 16 * 1024;

const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

interface EndlessCase {
  readonly name: string;
  readonly start: string;
  /** Repeated endlessly after `start`. */
  readonly unit: string;
  /** The number of bytes that may be read before the response is rejected. */
  readonly maximumBytes: number;
  readonly reason: RegExp;
}

const CASES: readonly EndlessCase[] = [
  {
    name: "one endless header line",
    start: "HTTP/1.1 200 OK\r\nX-Long: ",
    unit: "a",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /header is too long/,
  },
  {
    name: "endless header lines",
    start: "HTTP/1.1 200 OK\r\n",
    unit: "X-Line: a\r\n",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /header is too long/,
  },
  {
    name: "an endless status line",
    start: "HTTP/1.1 200 ",
    unit: "OK ",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /header is too long/,
  },
  {
    name: "endless bytes of another protocol",
    start: "",
    unit: "\x16\x03\x01 no response",
    maximumBytes: 0,
    reason: /status line is malformed/,
  },
  {
    name: "endless line breaks",
    start: "",
    unit: "\r\n",
    maximumBytes: 0,
    reason: /status line is malformed/,
  },
  {
    name: "endless interim responses",
    start: "",
    unit: "HTTP/1.1 100 Continue\r\n\r\n",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /too many interim responses/,
  },
  {
    name: "endless chunks",
    start: CHUNKED,
    unit: `1000\r\n${"c".repeat(0x1000)}\r\n`,
    maximumBytes: MAXIMUM_RESPONSE_BYTES,
    reason: /body is too long/,
  },
  {
    name: "endless chunks of one byte",
    start: CHUNKED,
    unit: "1\r\nc\r\n",
    maximumBytes: MAXIMUM_RESPONSE_BYTES,
    reason: /body is too long/,
  },
  {
    name: "endless chunks with long extensions",
    start: CHUNKED,
    unit: `1;${"x".repeat(1_000)}\r\nc\r\n`,
    maximumBytes: MAXIMUM_RESPONSE_BYTES,
    reason: /body is too long/,
  },
  {
    name: "an endless chunk line",
    start: `${CHUNKED}1;`,
    unit: "x",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /chunk line is too long/,
  },
  {
    name: "an endless line in a trailer",
    start: `${CHUNKED}0\r\nX-Long: `,
    unit: "a",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /trailer is too long/,
  },
  {
    name: "an endless trailer",
    start: `${CHUNKED}0\r\n`,
    unit: "X-Line: a\r\n",
    maximumBytes: MAXIMUM_HEADER_BYTES,
    reason: /trailer is too long/,
  },
  {
    name: "an endless close-delimited body",
    start: "HTTP/1.1 200 OK\r\n\r\n",
    unit: "b",
    maximumBytes: MAXIMUM_RESPONSE_BYTES,
    reason: /body is too long/,
  },
  {
    name: "a body of a huge length",
    start: "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n",
    unit: "b",
    maximumBytes: 0,
    reason: /body is too long/,
  },
];

/** Counts the bytes that buffers copy and search during a test. */
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
  // Not mocks of the test runner, because they record every call.
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
  if (work.bytes > MAXIMUM_WORK_PER_BYTE * received + INITIAL_WORK_BYTES) {
    assert.fail(`${work.bytes} bytes copied and searched for ${received}`);
  }
}

describe("endless bytes", () => {
  for (const { name, start, unit, maximumBytes, reason } of CASES) {
    test(`${name}: the response is rejected within its limit`, (context) => {
      const piece = Buffer.from(
        unit.repeat(Math.ceil(PIECE_BYTES / unit.length)),
      );
      const first = Buffer.from(start);
      const work = countWork(context);
      const decoder = createResponseDecoder({ isHeadRequest: () => false });
      let received = first.length;
      decoder.push(first);
      let step = decoder.next();
      let maximumBuffered = 0;
      const maximumReceived = maximumBytes + HEADER_ALLOWANCE_BYTES +
        2 * piece.length;
      while (step.type === "more" && received < maximumReceived) {
        decoder.push(piece);
        received += piece.length;
        step = decoder.next();
        maximumBuffered = Math.max(maximumBuffered, decoder.bufferedBytes);
      }
      assert.equal(step.type, "malformed", `after ${received} bytes`);
      assert.match(step.type === "malformed" ? step.reason : "", reason);
      checkWork(work, received);
      assert.ok(
        maximumBuffered <= maximumReceived + MAXIMUM_HEADER_BYTES,
        `${maximumBuffered} bytes held`,
      );
      assert.equal(decoder.bufferedBytes, 0);
    });
  }
});

describe("a response that arrives in small pieces", () => {
  const header = `HTTP/1.1 200 OK\r\n${"X-Line: abcdef\r\n".repeat(3_500)}`;
  const text = "t".repeat(300_000);
  const chunk = "t".repeat(1_000);
  const RESPONSES: readonly (readonly [string, string, string])[] = [
    ["a long header", `${header}Content-Length: 1\r\n\r\n1`, "1"],
    [
      "a body with a length",
      `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`,
      text,
    ],
    [
      "a chunked body",
      `${CHUNKED}${`3e8\r\n${chunk}\r\n`.repeat(300)}0\r\nX-End: 1\r\n\r\n`,
      text,
    ],
    [
      "a chunked body with chunks of one byte",
      `${CHUNKED}${"1\r\nt\r\n".repeat(300_000)}0\r\n\r\n`,
      text,
    ],
  ];
  for (const [name, encoded, body] of RESPONSES) {
    for (const pieceBytes of [1, 100, 1_400]) {
      test(`${name} in pieces of ${pieceBytes} bytes takes linear work`, (context) => {
        const bytes = Buffer.from(encoded);
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

  test("a header line with many blanks takes linear time", () => {
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
    // Linear time takes less than a millisecond, quadratic time takes seconds.
    assert.ok(user < 500_000, `${user} us of processor time`);
  });

  test("a response of the maximum size is decoded completely", () => {
    const body = "l".repeat(MAXIMUM_RESPONSE_BYTES - 256 * 1024);
    const sent = Buffer.from(
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    assert.deepEqual(
      feed(sent, PIECE_BYTES).map(({ length }) => length),
      [body.length],
    );
  });
});
