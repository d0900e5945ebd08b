/**
 * HTTP client for a service of the platform, with timeouts and a call budget.
 * The error of a failed call says whether it may have taken effect. The client
 * never retries: only the code that uses it knows whether a retry is safe.
 * @module
 */
import { Result } from "true-myth/result";
import { Agent, request } from "undici";
import { ResponseTimer } from "./response_timer.ts";
import type { CallBudget } from "./call_budget.ts";
import type { PlatformError, PlatformErrorReason } from "./platform_error.ts";

const MAX_CONNECTIONS = 8;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** Milliseconds. */
const DEFAULT_TIMEOUT = 3000;

/** Address of a service of the platform, and limits for calls of it. */
export type HttpServiceOptions = {
  /** Base URL, such as `http://127.0.0.1:7100`. */
  url: string;
  /** Milliseconds without (more of) the response after which a call fails. */
  timeout?: number;
  /** Absent: unlimited, as for the operator's command line. */
  budget?: CallBudget;
  /** Clock of the budget, in milliseconds. */
  clock?: () => number;
};

/** A call; `step` names it in errors. */
export type HttpCall = {
  step: string;
  method: "GET" | "PUT" | "POST" | "DELETE";
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Milliseconds for which the service itself may delay the response. */
  wait?: number;
  /** Aborts the call. */
  signal?: AbortSignal;
};

/** A complete response. */
export type HttpResponse = {
  status: number;
  etag: string;
  /** Headers that occur once, by their names in lower case. */
  headers: Readonly<Record<string, string>>;
  text: string;
};

/** The fields that are read of an error that undici or Node.js throws. */
type TransportFailure = {
  code?: string;
  name?: string;
  syscall?: string;
  message?: string;
  errors?: TransportFailure[];
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
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: { timeout: this.#timeout },
    });
  }

  async call(call: HttpCall): Promise<Result<HttpResponse, PlatformError>> {
    if (this.#budget !== undefined && !this.#budget.tryTake(this.#clock())) {
      return Result.err(
        this.createError(
          call,
          "budget",
          "the call budget of this process is used up",
          "no",
        ),
      );
    }
    try {
      return Result.ok(await this.#send(call));
    } catch (failure) {
      return Result.err(
        this.#transportError(call, failure as TransportFailure),
      );
    }
  }

  /** Returns an error of this service. A failed GET is never `applied`. */
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

  /**
   * Returns the error for a response with an unexpected status. A call that got
   * a 4xx or 503 response was not applied.
   */
  unexpectedStatusError(call: HttpCall, response: HttpResponse): PlatformError {
    const detail = `status ${response.status} ${response.text.slice(0, 200)}`
      .trim();
    const refused = response.status === 503 ||
      (response.status >= 400 && response.status < 500);
    return this.createError(call, "status", detail, refused ? "no" : "unknown");
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(call: HttpCall): Promise<HttpResponse> {
    const timer = new ResponseTimer({
      firstPartTimeout: this.#timeout + (call.wait ?? 0),
      progressTimeout: this.#timeout,
      ...(call.signal && { signal: call.signal }),
    });
    try {
      return await this.#exchange(call, timer);
    } finally {
      timer.stop();
    }
  }

  async #exchange(call: HttpCall, timer: ResponseTimer): Promise<HttpResponse> {
    const response = await request(this.#url + call.path, {
      dispatcher: this.#agent,
      method: call.method,
      headers: call.headers ?? {},
      body: call.body ?? null,
      signal: timer.signal,
    });
    const chunks: Buffer[] = [];
    timer.recordProgress();
    for await (const chunk of response.body) {
      timer.recordProgress();
      chunks.push(chunk);
    }
    const headers = singleHeaders(response.headers);
    return {
      status: response.statusCode,
      etag: headers["etag"] ?? "",
      headers,
      text: Buffer.concat(chunks).toString("utf8"),
    };
  }

  /**
   * If no connection could be opened, the call was never sent. After any later
   * failure (reset, timeout, truncated response) a write may have taken effect.
   */
  #transportError(call: HttpCall, failure: TransportFailure): PlatformError {
    const applied = neverConnected(failure) ? "no" : "unknown";
    const detail = failure.message || failure.code || "no detail";
    return this.createError(call, reasonOf(failure), detail, applied);
  }
}

function singleHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const single: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (typeof value === "string") single[name] = value;
  }
  return single;
}

function neverConnected(failure: TransportFailure): boolean {
  if (failure.errors !== undefined && failure.errors.length > 0) {
    return failure.errors.every(neverConnected);
  }
  return failure.code === "UND_ERR_CONNECT_TIMEOUT" ||
    failure.syscall === "connect" || failure.syscall === "getaddrinfo";
}

function reasonOf(failure: TransportFailure): PlatformErrorReason {
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
