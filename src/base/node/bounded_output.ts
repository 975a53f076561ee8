/**
 * A stream to a file descriptor that never blocks the process and keeps a bounded number of bytes.
 *
 * Node writes to a pipe synchronously, so a slow reader of standard output would stop the whole
 * process. Lines that do not fit are left out and counted; the count is written when there is
 * room again.
 *
 * @module
 */

import { write } from "node:fs";
import { Writable } from "node:stream";

const DEFAULT_MAXIMUM_BYTES = 1024 * 1024;
/** Lines are collected for this long, so that many lines take one system call. */
const COLLECT_MS = 50;
/** The delay before a write is tried again when the reader takes nothing. */
const RETRY_MS = 20;

export interface BoundedOutputOptions {
  readonly descriptor: number;
  readonly maximumBytes?: number;
}

export interface BoundedOutput {
  readonly stream: Writable;
  /** Lines that were left out so far. */
  readonly omittedLines: number;
  /** Resolves when everything has been written, or after the time. */
  flush(withinMilliseconds: number): Promise<void>;
}

export function createBoundedOutput(
  options: BoundedOutputOptions,
): BoundedOutput {
  const maximum = options.maximumBytes ?? DEFAULT_MAXIMUM_BYTES;
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let writing = false;
  let timer: NodeJS.Timeout | undefined;
  let omittedLines = 0;
  let reportedOmitted = 0;

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
        // The reader is gone: nobody is left to whom a line could be written.
        pendingBytes -= bytes.length;
        return;
      }
      const rest = bytes.subarray(error === null ? written : 0);
      pendingBytes -= bytes.length - rest.length;
      if (rest.length > 0) {
        pending.unshift(rest);
        schedule(RETRY_MS);
      } else if (pending.length > 0) {
        writePending();
      }
    });
  }

  function add(line: Buffer): void {
    if (pendingBytes + line.length > maximum) {
      omittedLines += 1;
      return;
    }
    if (omittedLines > reportedOmitted) {
      const note = Buffer.from(
        `level=warn event=log.omitted lines=${
          omittedLines - reportedOmitted
        }\n`,
      );
      reportedOmitted = omittedLines;
      pending.push(note);
      pendingBytes += note.length;
    }
    pending.push(line);
    pendingBytes += line.length;
    schedule(COLLECT_MS);
  }

  return {
    stream: new Writable({
      write(chunk: Buffer, _, done) {
        add(Buffer.from(chunk));
        done();
      },
    }),
    get omittedLines() {
      return omittedLines;
    },
    async flush(withinMilliseconds) {
      const until = performance.now() + withinMilliseconds;
      clearTimeout(timer);
      timer = undefined;
      writePending();
      while (pendingBytes > 0 && performance.now() < until) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    },
  };
}
