import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createResponseDecoder, type DecodeStep } from "./response_decoder.ts";

interface Case {
  readonly name: string;
  readonly bytes: string;
  /** Bodies of the responses in their order, then how the connection ends. */
  readonly bodies: readonly string[];
  readonly end?: "closed" | "malformed";
}

const SEAL = "Request-Identity: a\r\n";

const CASES: readonly Case[] = [
  {
    name: "a body with a length",
    bytes: `HTTP/1.1 200 OK\r\n${SEAL}Content-Length: 3\r\n\r\nabc`,
    bodies: ["abc"],
  },
  {
    name: "a body in chunks with an extension and a trailer",
    bytes: `HTTP/1.1 200 OK\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n` +
      "3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
    bodies: ["abcde"],
  },
  {
    name: "two responses in a row, the second not asked for",
    bytes: `HTTP/1.1 200 OK\r\n${SEAL}Content-Length: 1\r\n\r\n1` +
      `HTTP/1.1 200 OK\r\n${SEAL}Content-Length: 1\r\n\r\n2`,
    bodies: ["1", "2"],
  },
  {
    name: "an interim response before the final one",
    bytes: "HTTP/1.1 100 Continue\r\n\r\n" +
      `HTTP/1.1 200 OK\r\n${SEAL}Content-Length: 1\r\n\r\n1`,
    bodies: ["1"],
  },
  {
    name: "a body that ends with its connection",
    bytes: `HTTP/1.1 200 OK\r\n${SEAL}\r\nwhole`,
    bodies: ["whole"],
    end: "closed",
  },
  {
    name: "a body that is cut short is no response",
    bytes: `HTTP/1.1 200 OK\r\n${SEAL}Content-Length: 9\r\n\r\nhalf`,
    bodies: [],
    end: "malformed",
  },
  {
    name: "a last chunk that is missing is no response",
    bytes: `HTTP/1.1 200 OK\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n` +
      "3\r\nabc\r\n",
    bodies: [],
    end: "malformed",
  },
  {
    name: "bytes that are no response",
    bytes: "\x00\x01garbage\r\n\r\n",
    bodies: [],
    end: "malformed",
  },
  {
    name: "a length and chunks at once are ambiguous",
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
        const seen: string[] = [];
        let last: DecodeStep = { type: "more" };
        const drain = () => {
          do {
            last = decoder.next();
            if (last.type === "response") {
              seen.push(last.response.body.toString());
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
            seen.push(last.response.body.toString());
            assert.equal(last.response.keepsConnection, false);
          }
        }
        assert.deepEqual(seen, bodies);
        assert.equal(last.type === "malformed", end === "malformed");
      });
    }
  }

  test("surplus bytes after a response are seen, so that the connection is not used again", () => {
    const decoder = createResponseDecoder({ isHeadRequest: () => false });
    decoder.push(
      Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1surplus"),
    );
    assert.equal(decoder.next().type, "response");
    assert.equal(decoder.hasBytes, true);
  });

  test("the answer to a HEAD request has no body", () => {
    const decoder = createResponseDecoder({ isHeadRequest: () => true });
    decoder.push(
      Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"),
    );
    assert.equal(decoder.next().type, "response");
    assert.equal(decoder.hasBytes, false);
  });
});
