import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Duplex } from "node:stream";
import { describe, test } from "node:test";
import {
  createResponseDecoder,
  type DecodedResponse,
} from "../../gate/common/response_decoder.ts";
import { relayResponse } from "./response_writer.ts";

const REPEATED = "whole";

/** A response with one byte in a place of its head or body; `~` stands for the byte. */
const PLACES: Readonly<Record<string, string>> = {
  "in the protocol version":
    "HTTP/1.~ 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "before the status":
    "HTTP/1.1~200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "in the status":
    "HTTP/1.1 2~0 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "in the reason phrase":
    "HTTP/1.1 200 O~K\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "in a header name":
    "HTTP/1.1 200 OK\r\nX-~Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "before a header name":
    "HTTP/1.1 200 OK\r\n~X-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "in a header value":
    "HTTP/1.1 200 OK\r\nX-Id: a~b\r\nContent-Length: 5\r\n\r\nwhole",
  "at the end of a header value":
    "HTTP/1.1 200 OK\r\nX-Id: a~\r\nContent-Length: 5\r\n\r\nwhole",
  "in the date":
    "HTTP/1.1 200 OK\r\nDate: Sat,~05 Dec\r\nContent-Length: 5\r\n\r\nwhole",
  "in the content disposition":
    "HTTP/1.1 200 OK\r\nContent-Disposition: attachment; filename=~\r\n" +
    "Content-Length: 5\r\n\r\nwhole",
  "in the content length": "HTTP/1.1 200 OK\r\nContent-Length: 5~\r\n\r\nwhole",
  "in a connection option":
    "HTTP/1.1 200 OK\r\nConnection: keep~alive\r\nContent-Length: 5\r\n\r\nwhole",
  "in the transfer coding":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked~\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
  "in a chunk size":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n~5\r\nwhole\r\n0\r\n\r\n",
  "in a chunk extension":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=~\r\nwhole\r\n0\r\n\r\n",
  "in a trailer":
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: ~\r\n\r\n",
  "in the body": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwh~le",
};

/** The characters that RFC 9110 allows in values, reason phrases and chunk extensions. */
function isTextByte(byte: number): boolean {
  return byte === 9 || (byte >= 0x20 && byte !== 0x7f);
}

/** Places where each byte outside of text makes the response invalid. */
const TEXT_PLACES: readonly string[] = [
  "in the reason phrase",
  "in a header value",
  "at the end of a header value",
  "in the date",
  "in the content disposition",
  "in a chunk extension",
  "in a trailer",
];

/** Values and repeated headers that have a meaning for the writer. */
const HEADERS: Readonly<Record<string, string>> = {
  "a trailer announcement": "Trailer: X-Sum",
  "an upgrade": "Upgrade: websocket\r\nConnection: Upgrade",
  "an expectation": "Expect: 100-continue",
  "a connection option named as the length": "Connection: Content-Length",
  "a list of connection options": "Connection: close, X-Id,, ,Keep-Alive",
  "repeated dates": "Date: a\r\nDate: b",
  "repeated equal lengths": "Content-Length: 5",
  "a keep-alive timeout": "Keep-Alive: timeout=99999999999",
  "an empty value": "X-Empty:",
  "many headers": "X-Many: a\r\n".repeat(2_000).trimEnd(),
  "a content disposition beyond ASCII":
    "Content-Disposition: attachment; filename=\xe9",
};

function decode(text: string): DecodedResponse | undefined {
  const decoder = createResponseDecoder({ isHeadRequest: () => false });
  decoder.push(Buffer.from(text, "latin1"));
  const result = decoder.next();
  return result.type === "response" ? result.response : undefined;
}

/** Writes a response as the ingress does, and returns the bytes that the client gets. */
function write(decoded: DecodedResponse): string {
  const sent: Buffer[] = [];
  const connection = new Duplex({
    read() {},
    write(bytes: Buffer, _encoding, done) {
      sent.push(bytes);
      done();
    },
  });
  const request = new IncomingMessage(new Socket());
  request.httpVersionMajor = 1;
  request.httpVersionMinor = 1;
  request.method = "GET";
  const response = new ServerResponse(request);
  response.assignSocket(connection as Socket);
  relayResponse(response, {
    type: "answer",
    status: decoded.status,
    rawHeaders: decoded.rawHeaders,
    body: decoded.body,
    serviceMilliseconds: 1,
    wasNestedRefused: false,
  }, { closesConnection: false, isHead: false });
  return Buffer.concat(sent).toString("latin1");
}

/** Checks that a response that was read reaches the client unchanged. */
function checkRelayed(decoded: DecodedResponse, context: string): void {
  const relayed = decode(write(decoded));
  assert.ok(relayed !== undefined, `${context}: the client cannot read it`);
  assert.equal(relayed.status, decoded.status, context);
  assert.deepEqual(
    relayed.body,
    [204, 304].includes(decoded.status) ? Buffer.alloc(0) : decoded.body,
    context,
  );
}

// Guards against a response that the gate reads and that cannot be written to the client: the exception
// ended the daemon, or left the call without a response.
describe("a response that is read can be written", () => {
  for (const [place, template] of Object.entries(PLACES)) {
    test(`any byte ${place}`, () => {
      for (let byte = 0; byte < 256; byte += 1) {
        const text = template.replace("~", String.fromCharCode(byte));
        const decoded = decode(text);
        if (decoded !== undefined) {
          checkRelayed(decoded, `byte ${byte}`);
        }
        if (TEXT_PLACES.includes(place) && byte !== 0x0d) {
          assert.equal(
            decoded !== undefined,
            isTextByte(byte),
            `byte ${byte} is accepted only where it is allowed`,
          );
        }
      }
    });
  }

  test("any status", () => {
    for (let status = 0; status < 1_000; status += 1) {
      const code = String(status).padStart(3, "0");
      const decoded = decode(
        `HTTP/1.1 ${code} A\r\nContent-Length: 5\r\n\r\n${REPEATED}`,
      );
      if (decoded !== undefined) {
        checkRelayed(decoded, `status ${code}`);
      }
      assert.equal(decoded !== undefined, status >= 200, `status ${code}`);
    }
  });

  for (const [name, lines] of Object.entries(HEADERS)) {
    test(`a response with ${name}`, () => {
      const decoded = decode(
        `HTTP/1.1 200 OK\r\n${lines}\r\nContent-Length: 5\r\n\r\n${REPEATED}`,
      );
      assert.ok(decoded !== undefined);
      checkRelayed(decoded, name);
    });
  }
});

describe("a status line that is not of a response", () => {
  for (const status of ["000", "099"]) {
    test(`status ${status} is malformed, not an interim response`, () => {
      const decoder = createResponseDecoder({ isHeadRequest: () => false });
      decoder.push(Buffer.from(`HTTP/1.1 ${status} A\r\n\r\n`));
      assert.equal(decoder.next().type, "malformed");
    });
  }
});
