/**
 * One HTTP call to a service of the platform, with timeouts, the call budget and
 * an honest word on whether a failed call took effect. It never retries: the
 * callers know whether a second try is safe.
 * @module
 */
import { Result } from "true-myth/result";
import { Agent, request } from "undici";
import { AnswerTimer } from "./answer_timer.ts";
import type { CallBudget } from "./call_budget.ts";
import type { PlatformError, PlatformErrorReason } from "./platform_error.ts";

const CONNECTIONS = 8;
const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;
const DEFAULT_TIMEOUT = 3000;

/** Where a service of the platform is and how it may be called. */
export type HttpServiceOptions = {
  /** Base address, such as `http://127.0.0.1:7100`. */
  url: string;
  /** Milliseconds until a call fails whose answer does not begin, or stops. */
  timeout?: number;
  /** Absent: unlimited, as for the operator's command line. */
  budget?: CallBudget;
  /** Clock of the budget, in milliseconds. */
  clock?: () => number;
};

/** One call. */
export type HttpCall = {
  step: string;
  method: "GET" | "PUT" | "POST" | "DELETE";
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Milliseconds the service itself may hold the answer back. */
  wait?: number;
  /** Gives the call up. */
  signal?: AbortSignal;
};

/** A whole answer. */
export type HttpResponse = { status: number; etag: string; text: string };

type Failure = {
  code?: string;
  name?: string;
  syscall?: string;
  message?: string;
  errors?: Failure[];
};

/** Calls one service of the platform. */
export class HttpClient {
  #url: string;
  #timeout: number;
  #budget: CallBudget | undefined;
  #clock: () => number;
  #agent: Agent;

  constructor(options: HttpServiceOptions) {
    this.#url = options.url.replace(/\/+$/, "");
    this.#timeout = options.timeout ?? DEFAULT_TIMEOUT;
    this.#budget = options.budget;
    this.#clock = options.clock ?? (() => performance.now());
    this.#agent = new Agent({
      connections: CONNECTIONS,
      pipelining: 1,
      maxResponseSize: MAXIMUM_ANSWER_BYTES,
      connect: { timeout: this.#timeout },
    });
  }

  async call(call: HttpCall): Promise<Result<HttpResponse, PlatformError>> {
    if (this.#budget !== undefined && !this.#budget.take(this.#clock())) {
      return Result.err(
        this.createError(
          call,
          "budget",
          "this process has used up its calls",
          "no",
        ),
      );
    }
    try {
      return Result.ok(await this.#send(call));
    } catch (failure) {
      return Result.err(this.#failed(call, failure as Failure));
    }
  }

  /** An error of this peer; `applied` is `"no"` for calls that only read. */
  createError(
    call: Pick<HttpCall, "step" | "method">,
    reason: PlatformErrorReason,
    detail: string,
    applied: "no" | "unknown",
  ): PlatformError {
    const effect = call.method === "GET" ? "no" : applied;
    return {
      step: call.step,
      peer: this.#url,
      reason,
      applied: effect,
      detail,
    };
  }

  /** The error of an answer with an unexpected status. */
  unexpectedStatusError(call: HttpCall, answer: HttpResponse): PlatformError {
    const detail = `status ${answer.status} ${answer.text.slice(0, 200)}`
      .trim();
    const refused = answer.status === 503 ||
      (answer.status >= 400 && answer.status < 500);
    return this.createError(call, "status", detail, refused ? "no" : "unknown");
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(call: HttpCall): Promise<HttpResponse> {
    const timer = new AnswerTimer({
      first: this.#timeout + (call.wait ?? 0),
      between: this.#timeout,
      ...(call.signal && { signal: call.signal }),
    });
    try {
      return await this.#exchange(call, timer);
    } finally {
      timer.end();
    }
  }

  async #exchange(call: HttpCall, timer: AnswerTimer): Promise<HttpResponse> {
    const answer = await request(this.#url + call.path, {
      dispatcher: this.#agent,
      method: call.method,
      headers: call.headers ?? {},
      body: call.body ?? null,
      signal: timer.signal,
    });
    const parts: Buffer[] = [];
    timer.heard();
    for await (const part of answer.body) {
      timer.heard();
      parts.push(part);
    }
    const etag = answer.headers.etag;
    return {
      status: answer.statusCode,
      etag: typeof etag === "string" ? etag : "",
      text: Buffer.concat(parts).toString("utf8"),
    };
  }

  /**
   * A write whose connection could not be opened was never sent. Any later
   * failure (reset, timeout, cut answer) may hide a write that took effect.
   */
  #failed(call: HttpCall, failure: Failure): PlatformError {
    const applied = neverConnected(failure) ? "no" : "unknown";
    const detail = failure.message || failure.code || "no detail";
    return this.createError(call, reasonOf(failure), detail, applied);
  }
}

function neverConnected(failure: Failure): boolean {
  if (failure.errors !== undefined && failure.errors.length > 0) {
    return failure.errors.every(neverConnected);
  }
  return failure.code === "UND_ERR_CONNECT_TIMEOUT" ||
    failure.syscall === "connect" || failure.syscall === "getaddrinfo";
}

function reasonOf(failure: Failure): PlatformErrorReason {
  if (failure.name === "TimeoutError") {
    return "timeout";
  }
  switch (failure.code) {
    case "UND_ERR_CONNECT_TIMEOUT":
    case "UND_ERR_HEADERS_TIMEOUT":
    case "UND_ERR_BODY_TIMEOUT":
      return "timeout";
    case "UND_ERR_RES_EXCEEDED_MAX_SIZE":
      return "malformed";
    default:
      return "unreachable";
  }
}
