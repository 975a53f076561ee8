/**
 * A non-blocking stream to a file descriptor with a bounded buffer.
 *
 * Node writes to a pipe synchronously, so a slow reader of standard output would block the whole process. Lines that
 * do not fit in the buffer are dropped and counted; the count is written when the buffer has room again.
 *
 * @module
 */

import { write } from "node:fs";
import { Writable } from "node:stream";

const DEFAULT_MAXIMUM_BYTES = 1024 * 1024;
/** Lines are buffered for this long, so that one system call writes many lines. */
const BATCH_DELAY_MS = 50;
/** The delay before the next write when the descriptor did not accept all bytes. */
const RETRY_DELAY_MS = 20;

export interface BoundedOutputOptions {
  readonly descriptor: number;
  readonly maximumBytes?: number;
}

export interface BoundedOutput {
  readonly stream: Writable;
  /** The number of lines that have been dropped. */
  readonly omittedLines: number;
  /** Resolves when everything has been written, or after the timeout. */
  flush(withinMilliseconds: number): Promise<void>;
}

export function createBoundedOutput(
  options: BoundedOutputOptions,
): BoundedOutput {
  const maximumBytes = options.maximumBytes ?? DEFAULT_MAXIMUM_BYTES;
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let writing = false;
  let timer: NodeJS.Timeout | undefined;
  let omittedLines = 0;
  let reportedOmittedLines = 0;

  function schedule(delay: number): void {
    if (!writing && timer === undefined) {
      timer = setTimeout(() => {
        timer = undefined;
        writePending();
      }, delay);
    }
  }

  function writePending(): void {
    if (writing || pending.length === 0) {
      return;
    }
    writing = true;
    const bytes = Buffer.concat(pending, pendingBytes);
    pending = [];
    write(options.descriptor, bytes, (error, written) => {
      writing = false;
      if (error !== null && error.code !== "EAGAIN") {
        // The reader has closed the pipe, so the bytes are discarded.
        pendingBytes -= bytes.length;
        return;
      }
      const remaining = bytes.subarray(error === null ? written : 0);
      pendingBytes -= bytes.length - remaining.length;
      if (remaining.length > 0) {
        pending.unshift(remaining);
        schedule(RETRY_DELAY_MS);
      } else if (pending.length > 0) {
        writePending();
      }
    });
  }

  function enqueueLine(line: Buffer): void {
    if (pendingBytes + line.length > maximumBytes) {
      omittedLines += 1;
      return;
    }
    if (omittedLines > reportedOmittedLines) {
      const omissionLine = Buffer.from(
        `level=warn event=log.omitted lines=${
          omittedLines - reportedOmittedLines
        }\n`,
      );
      reportedOmittedLines = omittedLines;
      pending.push(omissionLine);
      pendingBytes += omissionLine.length;
    }
    pending.push(line);
    pendingBytes += line.length;
    schedule(BATCH_DELAY_MS);
  }

  return {
    stream: new Writable({
      write(chunk: Buffer, _, done) {
        enqueueLine(Buffer.from(chunk));
        done();
      },
    }),
    get omittedLines() {
      return omittedLines;
    },
    async flush(withinMilliseconds) {
      const deadline = performance.now() + withinMilliseconds;
      clearTimeout(timer);
      timer = undefined;
      writePending();
      while (pendingBytes > 0 && performance.now() < deadline) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
  };
}
