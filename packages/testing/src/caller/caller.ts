/** Calls an entry and records the outcome of each call. @module */
import { connectorWithResetErrors } from "@sycamorepulley/receiving";
import { Agent, request } from "undici";
import type { CallOutcome, CallRecord } from "../history/call_record.ts";
import { readOutcome } from "./response_reader.ts";

/** Milliseconds until an attempt to connect is given up. */
const CONNECT_TIMEOUT = 10_000;

/** Options common to all calls. */
export type Call = {
  marker: string;
  service: string;
  tier?: string;
  /** Rank of `tier`; only recorded for the checks, not sent. */
  tierRank?: number;
  /** Deadline in milliseconds. */
  deadline?: number;
  idempotencyKey?: string;
  token?: string;
  /** Called once, when the first bytes of the response body arrive. */
  onFirstBytes?: () => void;
  /** Aborts the call on the caller's side. */
  signal?: AbortSignal;
};

/** A call of a model engine. */
export type ChatCall = Call & {
  /** Texts of the messages before the last one. */
  firstMessages?: readonly string[];
  /** Text in front of the marker. */
  prompt?: string;
  outputTokens?: number;
  stream?: boolean;
};

/** A call of a plain service. */
export type PlainCall = Call & {
  method: "GET" | "POST" | "PUT" | "DELETE";
  path: string;
  body?: Record<string, unknown>;
};

type HttpCall = {
  method: PlainCall["method"];
  path: string;
  body: string | undefined;
};

/** Sends calls to one entry and records them. */
export class Caller {
  readonly calls: CallRecord[] = [];
  readonly #url: string;
  readonly #token: string;
  readonly #agent = new Agent({
    connections: null,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: connectorWithResetErrors(CONNECT_TIMEOUT, () => "shown"),
  });

  constructor({ url, token }: { url: string; token: string }) {
    this.#url = url;
    this.#token = token;
  }

  /** Sends a chat completion to the model that is named like the service. */
  chat(call: ChatCall): Promise<CallOutcome> {
    const { prompt = "", outputTokens = 8, stream = false } = call;
    const texts = [...call.firstMessages ?? [], `${prompt}#${call.marker}#`];
    const body = {
      model: call.service,
      messages: texts.map((content) => ({ role: "user", content })),
      max_tokens: outputTokens,
      stream,
    };
    return this.#sendAndRecord(call, {
      method: "POST",
      path: "/v1/chat/completions",
      body: JSON.stringify(body),
    });
  }

  /** Sends a request to a plain service. */
  callPlainService(call: PlainCall): Promise<CallOutcome> {
    const body = { note: `#${call.marker}#`, ...call.body };
    return this.#sendAndRecord(call, {
      method: call.method,
      path: `/services/${call.service}${call.path}`,
      body: call.method === "GET" ? undefined : JSON.stringify(body),
    });
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendAndRecord(call: Call, httpCall: HttpCall): Promise<CallOutcome> {
    const sentAt = Date.now();
    const outcome = await this.#send(call, httpCall);
    const record: CallRecord = {
      marker: call.marker,
      service: call.service,
      sentAt,
      endedAt: Date.now(),
      outcome,
    };
    if (call.tierRank !== undefined) {
      record.tierRank = call.tierRank;
    }
    if (call.idempotencyKey !== undefined) {
      record.idempotencyKey = call.idempotencyKey;
    }
    this.calls.push(record);
    return outcome;
  }

  async #send(call: Call, httpCall: HttpCall): Promise<CallOutcome> {
    try {
      const response = await request(this.#url + httpCall.path, {
        method: httpCall.method,
        headers: this.#createHeaders(call),
        body: httpCall.body ?? null,
        signal: call.signal,
        dispatcher: this.#agent,
      });
      return await readOutcome(response, call.onFirstBytes);
    } catch (error) {
      return { type: "broken", detail: String(error), text: "" };
    }
  }

  #createHeaders(call: Call): Record<string, string> {
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "authorization": `Bearer ${call.token ?? this.#token}`,
    };
    if (call.tier !== undefined) {
      headers["sycamorepulley-tier"] = call.tier;
    }
    if (call.deadline !== undefined) {
      headers["sycamorepulley-deadline"] = String(call.deadline);
    }
    if (call.idempotencyKey !== undefined) {
      headers["idempotency-key"] = call.idempotencyKey;
    }
    return headers;
  }
}
