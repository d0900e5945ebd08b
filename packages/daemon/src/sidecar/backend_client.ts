/** The one way to the backend server, over HTTP by `undici`. @module */
import { errors, Pool } from "undici";
import type { Dispatcher } from "undici";
import type {
  FailedMessage,
  HandOverMessage,
  HttpHeaders,
} from "@sycamorepulley/protocol";
import { endToEndHeaders } from "../common/end_to_end_headers.ts";
import { meterFor } from "./answer_meter.ts";

/** Takes the answer as it comes. */
export abstract class AnswerReceiver {
  abstract head(status: number, headers: HttpHeaders): void;
  abstract chunk(bytes: Uint8Array, outputTokens: number): Promise<void>;
}

/** How a run ended. `cut`: the connection broke while the request ran. */
export type RunOutcome =
  | { kind: "whole"; status: number }
  | {
    kind: "failed";
    ran: FailedMessage["ran"];
    reason: FailedMessage["reason"];
    cut: boolean;
  };

/** Options of {@link BackendClient}. */
export type BackendClientOptions = {
  url: string;
  kind: "model" | "plain";
  /** Largest answer, in bytes. */
  answerBytes: number;
};

/** Runs requests at one backend server. */
export class BackendClient {
  readonly #pool: Pool;
  readonly #kind: "model" | "plain";
  readonly #answerBytes: number;

  constructor(options: BackendClientOptions) {
    this.#kind = options.kind;
    this.#answerBytes = options.answerBytes;
    this.#pool = new Pool(options.url, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: 2000 },
    });
  }

  /** Runs a request; never more than one attempt. */
  async run(
    request: HandOverMessage,
    receiver: AnswerReceiver,
    signal: AbortSignal,
  ): Promise<RunOutcome> {
    try {
      const answer = await this.#pool.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body.byteLength > 0 ? request.body : null,
        signal,
      });
      return await this.#relay(answer, receiver);
    } catch (error) {
      return failedRun(error, signal);
    }
  }

  /** Whether the server answers `path` with a success. */
  async probe(path: string, timeout: number): Promise<boolean> {
    try {
      const { statusCode, body } = await this.#pool.request({
        method: "GET",
        path,
        signal: AbortSignal.timeout(timeout),
      });
      await body.dump();
      return statusCode < 400;
    } catch {
      return false;
    }
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #relay(
    answer: Dispatcher.ResponseData,
    receiver: AnswerReceiver,
  ): Promise<RunOutcome> {
    const headers = endToEndHeaders(answer.headers);
    const meter = meterFor({
      kind: this.#kind,
      status: answer.statusCode,
      contentType: String(headers["content-type"] ?? ""),
    });
    receiver.head(answer.statusCode, headers);
    let length = 0;
    for await (const bytes of answer.body as AsyncIterable<Uint8Array>) {
      length += bytes.byteLength;
      if (length > this.#answerBytes) {
        answer.body.destroy();
        return failed("yes", "answer_too_large");
      }
      await receiver.chunk(bytes, meter.read(bytes).outputTokens);
    }
    if (!meter.whole) return { ...failed("yes", "answer_cut"), cut: true };
    return { kind: "whole", status: answer.statusCode };
  }
}

function failed(
  ran: FailedMessage["ran"],
  reason: FailedMessage["reason"],
): Extract<RunOutcome, { kind: "failed" }> {
  return { kind: "failed", ran, reason, cut: false };
}

function failedRun(error: unknown, signal: AbortSignal): RunOutcome {
  if (signal.aborted) {
    const reason = signal.reason === "deadline" ? "deadline" : "cancelled";
    return failed("unknown", reason);
  }
  if (neverConnected(error)) return failed("no", "connect_failed");
  return { ...failed("unknown", "answer_cut"), cut: true };
}

/** No connection, so not a byte of the request left this process. */
function neverConnected(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === "ECONNREFUSED" || syscall === "connect";
}
