/** HTTP client for the sidecar's backend server, by `undici`. @module */
import type { ResetDetection } from "@sycamorepulley/decisions";
import {
  connectorWithResetErrors,
  ProcessWitness,
  WitnessConnection,
} from "@sycamorepulley/receiving";
import { errors, Pool } from "undici";
import type { Dispatcher } from "undici";
import type {
  FailedMessage,
  HandOverMessage,
  HttpHeaders,
} from "@sycamorepulley/protocol";
import { endToEndHeaders } from "../common/end_to_end_headers.ts";
import { monotonicNow } from "../common/clock.ts";
import { RelayedResponse } from "./relayed_response.ts";
import { createMeter } from "./response_meter.ts";

/** Milliseconds until an attempt to connect is given up. */
const CONNECT_TIMEOUT = 2000;

/** Receives a response while it is streamed. */
export abstract class ResponseReceiver {
  abstract receiveHead(status: number, headers: HttpHeaders): void;
  abstract receiveChunk(bytes: Uint8Array, outputTokens: number): Promise<void>;
}

/**
 * How a request ended. `connectionLost` is true if the connection broke while
 * the request was running.
 */
export type RunOutcome =
  | { kind: "complete"; status: number }
  | {
    kind: "failed";
    ran: FailedMessage["ran"];
    reason: FailedMessage["reason"];
    connectionLost: boolean;
  };

/** Options of {@link BackendClient}. */
export type BackendClientOptions = {
  url: string;
  kind: "model" | "plain";
  /** Maximum size of a response, in bytes. */
  maxResponseBytes: number;
  /** Whether resets are known to show on this machine. */
  resetDetection: () => ResetDetection;
};

/** Runs requests at one backend server. */
export class BackendClient {
  readonly #pool: Pool;
  readonly #kind: "model" | "plain";
  readonly #maxResponseBytes: number;
  readonly #witnessConnection: WitnessConnection;

  constructor(options: BackendClientOptions) {
    this.#kind = options.kind;
    this.#maxResponseBytes = options.maxResponseBytes;
    this.#witnessConnection = new WitnessConnection(addressOf(options.url));
    this.#pool = new Pool(options.url, {
      pipelining: 1,
      // Timeouts in milliseconds; 0: none, as the deadline ends a request.
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: connectorWithResetErrors(
        CONNECT_TIMEOUT,
        options.resetDetection,
      ),
    });
  }

  /** Runs a request, in a single attempt. */
  async run(
    request: HandOverMessage,
    receiver: ResponseReceiver,
    signal: AbortSignal,
  ): Promise<RunOutcome> {
    try {
      const response = await this.#pool.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body.byteLength > 0 ? request.body : null,
        signal,
      });
      return await this.#relayResponse(request.method, response, receiver);
    } catch (error) {
      return outcomeOfError(error, signal);
    }
  }

  /**
   * Resolves to the headers of the server's response to a GET of `path`, if its
   * status is below 400 and it comes within `timeout` milliseconds.
   */
  async probe(
    path: string,
    timeout: number,
  ): Promise<HttpHeaders | undefined> {
    try {
      const { statusCode, headers, body } = await this.#pool.request({
        method: "GET",
        path,
        signal: AbortSignal.timeout(timeout),
      });
      await body.dump();
      return statusCode < 400 ? endToEndHeaders(headers) : undefined;
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #relayResponse(
    method: string,
    response: Dispatcher.ResponseData,
    receiver: ResponseReceiver,
  ): Promise<RunOutcome> {
    const relayed = new RelayedResponse();
    if (!isCloseDelimited(method, response)) {
      return await this.#relayBody(response, relayed, receiver);
    }
    const witness = new ProcessWitness({
      response: relayed,
      others: [],
      connection: this.#witnessConnection,
    });
    try {
      const outcome = await this.#relayBody(response, relayed, receiver);
      const hasRestarted = outcome.kind === "complete" &&
        await witness.evidence() === "ended";
      return hasRestarted ? CUT : outcome;
    } finally {
      witness.stop();
    }
  }

  async #relayBody(
    response: Dispatcher.ResponseData,
    relayed: RelayedResponse,
    receiver: ResponseReceiver,
  ): Promise<RunOutcome> {
    const headers = endToEndHeaders(response.headers);
    const meter = createMeter({
      kind: this.#kind,
      status: response.statusCode,
      contentType: String(headers["content-type"] ?? ""),
    });
    receiver.receiveHead(response.statusCode, headers);
    let length = 0;
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
      length += bytes.byteLength;
      if (length > this.#maxResponseBytes) {
        response.body.destroy();
        return failedOutcome("yes", "answer_too_large");
      }
      const { outputTokens } = meter.read(bytes);
      await relayed.recordChunk(
        bytes.byteLength,
        () => receiver.receiveChunk(bytes, outputTokens),
        monotonicNow,
      );
    }
    relayed.recordEnd(monotonicNow());
    if (!meter.isComplete) return CUT;
    return { kind: "complete", status: response.statusCode };
  }
}

/** The server's connection ended in the middle of its response. */
const CUT: RunOutcome = {
  kind: "failed",
  ran: "yes",
  reason: "answer_cut",
  connectionLost: true,
};

/** HTTP status codes of responses that have no body. */
const BODILESS_STATUSES: readonly number[] = [204, 304];
const DEFAULT_PORTS: Record<string, number> = { "http:": 80, "https:": 443 };

function addressOf(url: string): { host: string; port: number } {
  const { hostname, port, protocol } = new URL(url);
  const host = hostname.replace(/^\[|\]$/g, "");
  return { host, port: Number(port) || DEFAULT_PORTS[protocol] || 80 };
}

/** Whether only the end of the connection marks the end of the response. */
function isCloseDelimited(
  method: string,
  { statusCode, headers }: Dispatcher.ResponseData,
): boolean {
  return method !== "HEAD" && !BODILESS_STATUSES.includes(statusCode) &&
    headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

function failedOutcome(
  ran: FailedMessage["ran"],
  reason: FailedMessage["reason"],
): Extract<RunOutcome, { kind: "failed" }> {
  return { kind: "failed", ran, reason, connectionLost: false };
}

function outcomeOfError(error: unknown, signal: AbortSignal): RunOutcome {
  if (signal.aborted) {
    const reason = signal.reason === "deadline" ? "deadline" : "cancelled";
    return failedOutcome("unknown", reason);
  }
  if (isConnectError(error)) return failedOutcome("no", "connect_failed");
  return { ...failedOutcome("unknown", "answer_cut"), connectionLost: true };
}

/** Whether connecting failed, so that no byte of the request was sent. */
function isConnectError(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  const { code, syscall } = error as NodeJS.ErrnoException;
  return code === "ECONNREFUSED" || syscall === "connect";
}
