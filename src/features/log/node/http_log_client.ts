/**
 * The HTTP client of the platform's log.
 *
 * @module
 */

import * as valibot from "valibot";
import type { Milliseconds } from "../../../base/common/milliseconds.ts";
import { Err, Ok, type Result } from "../../../base/common/result.ts";
import { type Outcome, StepError } from "../../../base/common/step_error.ts";
import {
  createHttpClient,
  type HttpResponse,
} from "../../../base/node/http_client.ts";
import { decodeMessage } from "../../../base/common/message_codec.ts";
import {
  type AppendAnswer,
  LogClient,
  type LogPage,
  type ReadOptions,
  type StreamName,
} from "../common/log_client.ts";

const DEFAULT_TIMEOUT_MS: Milliseconds = 2_000;

/** HTTP statuses which prove that the platform has not applied the append. */
const REJECTION_STATUSES = new Set([400, 404, 405, 413, 429, 503]);

const OFFSET = valibot.pipe(
  valibot.number(),
  valibot.integer(),
  valibot.minValue(0),
);
const APPEND_ANSWER = valibot.object({
  offset: OFFSET,
  appendedAt: valibot.number(),
});
const PAGE = valibot.object({
  first: OFFSET,
  next: OFFSET,
  entries: valibot.array(
    valibot.object({
      offset: OFFSET,
      appendedAt: valibot.number(),
      record: valibot.instance(Uint8Array),
    }),
  ),
});

export interface HttpLogClientOptions {
  /** The base URL of the platform, such as `http://127.0.0.1:7300`. */
  readonly url: string;
  /** The timeout of an append, and of a read in addition to its wait. */
  readonly timeoutMilliseconds?: Milliseconds;
}

export function createHttpLogClient(options: HttpLogClientOptions): LogClient {
  return new HttpLogClient(options);
}

class HttpLogClient extends LogClient {
  readonly #client = createHttpClient();
  readonly #baseUrl: string;
  readonly #timeout: Milliseconds;

  constructor(options: HttpLogClientOptions) {
    super();
    this.#baseUrl = options.url.replace(/\/+$/, "");
    this.#timeout = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MS;
  }

  override async append(
    stream: StreamName,
    record: Uint8Array,
  ): Promise<Result<AppendAnswer, StepError>> {
    const step = "log.append";
    const response = await this.#client.send({
      step,
      url: `${this.#baseUrl}/streams/${stream}`,
      method: "POST",
      headers: { "content-type": "application/msgpack" },
      body: record,
      timeoutMilliseconds: this.#timeout,
    });
    return response.andThen((value) =>
      parseResponse(value, APPEND_ANSWER, step)
    );
  }

  override async read(
    stream: StreamName,
    from: number,
    options: ReadOptions = {},
  ): Promise<Result<LogPage, StepError>> {
    const step = "log.read";
    const wait = options.waitMilliseconds ?? 0;
    const url = new URL(`${this.#baseUrl}/streams/${stream}`);
    url.searchParams.set("from", String(from));
    url.searchParams.set("wait", String(wait));
    if (options.limit !== undefined) {
      url.searchParams.set("limit", String(options.limit));
    }
    const response = await this.#client.send({
      step,
      url: url.href,
      timeoutMilliseconds: wait + this.#timeout,
    });
    return response.andThen((value) => parseResponse(value, PAGE, step));
  }

  override dispose(): void {
    this.#client.dispose();
  }
}

function parseResponse<T>(
  response: HttpResponse,
  schema: valibot.GenericSchema<unknown, T>,
  step: string,
): Result<T, StepError> {
  if (response.status !== 200) {
    return Err(createError(
      step,
      `The platform answered with status ${response.status}`,
      REJECTION_STATUSES.has(response.status) ? "not-run" : "unknown",
    ));
  }
  const decoded = decodeMessage(response.body, step);
  if (decoded.err) {
    return decoded;
  }
  const checked = valibot.safeParse(schema, decoded.val);
  return checked.success ? Ok(checked.output) : Err(createError(
    step,
    `The platform's answer is malformed: ${checked.issues[0].message}`,
    "unknown",
  ));
}

function createError(
  step: string,
  message: string,
  outcome: Outcome,
): StepError {
  return new StepError(step, message, { peer: "platform", outcome });
}
