import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
  createResponseDecoder,
  type DecodeResult,
} from "./response_decoder.ts";

interface Case {
  readonly name: string;
  readonly bytes: string;
  /** Expected bodies of the responses, in order. */
  readonly bodies: readonly string[];
  readonly end?: "closed" | "malformed";
}

const IDENTITY_HEADER = "Request-Identity: a\r\n";

const CASES: readonly Case[] = [
  {
    name: "a body with a length",
    bytes: `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Content-Length: 3\r\n\r\nabc`,
    bodies: ["abc"],
  },
  {
    name: "a chunked body with an extension and a trailer",
    bytes:
      `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Transfer-Encoding: chunked\r\n\r\n` +
      "3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
    bodies: ["abcde"],
  },
  {
    name: "two responses in a row, the second unexpected",
    bytes: `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Content-Length: 1\r\n\r\n1` +
      `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Content-Length: 1\r\n\r\n2`,
    bodies: ["1", "2"],
  },
  {
    name: "an interim response before the final one",
    bytes: "HTTP/1.1 100 Continue\r\n\r\n" +
      `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Content-Length: 1\r\n\r\n1`,
    bodies: ["1"],
  },
  {
    name: "a close-delimited body",
    bytes: `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}\r\nwhole`,
    bodies: ["whole"],
    end: "closed",
  },
  {
    name: "a truncated body is malformed",
    bytes: `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Content-Length: 9\r\n\r\nhalf`,
    bodies: [],
    end: "malformed",
  },
  {
    name: "a missing last chunk is malformed",
    bytes:
      `HTTP/1.1 200 OK\r\n${IDENTITY_HEADER}Transfer-Encoding: chunked\r\n\r\n` +
      "3\r\nabc\r\n",
    bodies: [],
    end: "malformed",
  },
  {
    name: "bytes of another protocol are malformed",
    bytes: "\x00\x01garbage\r\n\r\n",
    bodies: [],
    end: "malformed",
  },
  {
    name: "a length together with chunked coding is malformed",
    bytes:
      `HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n` +
      "0\r\n\r\n",
    bodies: [],
    end: "malformed",
  },
];

describe("responses of instances", () => {
  for (const { name, bytes, bodies, end } of CASES) {
    for (const step of [1, 7, bytes.length]) {
      test(`${name}, in pieces of ${step} bytes`, () => {
        const decoder = createResponseDecoder({ isHeadRequest: () => false });
        const received: string[] = [];
        let last: DecodeResult = { type: "more" };
        const drain = () => {
          do {
            last = decoder.next();
            if (last.type === "response") {
              received.push(last.response.body.toString());
            }
          } while (last.type === "response");
        };
        for (let index = 0; index < bytes.length; index += step) {
          decoder.push(Buffer.from(bytes.slice(index, index + step), "latin1"));
          drain();
        }
        if (end !== undefined && last.type === "more") {
          last = decoder.finish();
          if (last.type === "response") {
            received.push(last.response.body.toString());
            assert.equal(last.response.keepsConnection, false);
          }
        }
        assert.deepEqual(received, bodies);
        assert.equal(last.type === "malformed", end === "malformed");
      });
    }
  }

  test("surplus bytes after a response are reported, so that the connection is not reused", () => {
    const decoder = createResponseDecoder({ isHeadRequest: () => false });
    decoder.push(
      Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1surplus"),
    );
    assert.equal(decoder.next().type, "response");
    assert.equal(decoder.hasUnreadBytes, true);
  });

  test("the response to a HEAD request has no body", () => {
    const decoder = createResponseDecoder({ isHeadRequest: () => true });
    decoder.push(
      Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"),
    );
    assert.equal(decoder.next().type, "response");
    assert.equal(decoder.hasUnreadBytes, false);
  });
});
