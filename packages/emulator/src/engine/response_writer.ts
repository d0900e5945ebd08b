/**
 * Writes a chat completion, as one JSON document or as server-sent events.
 * @module
 */
import type { ServerResponse } from "node:http";
import { markedText, markedToken } from "../markers/marked_text.ts";
import { sendJson, sendTruncatedJson } from "../server/http_messages.ts";
import type { Usage } from "./chat_completion.ts";

/** Contents of a completion apart from its tokens. */
export type CompletionMetadata = {
  id: string;
  model: string;
  /** Name of the engine that sends the response. */
  server: string;
  marker: string | undefined;
  outputTokens: number;
  usage: Usage;
};

/** Receives the tokens of one completion as they are generated. */
export abstract class ResponseWriter {
  protected readonly response: ServerResponse;
  protected readonly metadata: CompletionMetadata;

  constructor(response: ServerResponse, metadata: CompletionMetadata) {
    this.response = response;
    this.metadata = metadata;
  }

  /** Writes the token number `index`, counted from 1. */
  abstract writeToken(index: number): void;

  /** Ends the response after the last token. */
  abstract finish(): void;

  /** Closes the connection before the response is complete. */
  abstract abort(): void;
}

/** Sends the completion as one JSON document when all tokens are generated. */
export class JsonResponseWriter extends ResponseWriter {
  override writeToken(): void {}

  override finish(): void {
    sendJson(this.response, 200, this.#createDocument());
  }

  override abort(): void {
    sendTruncatedJson(this.response, this.#createDocument());
  }

  #createDocument(): unknown {
    const { id, model, server, marker, outputTokens, usage } = this.metadata;
    const content = markedText(marker, outputTokens);
    return {
      id,
      object: "chat.completion",
      model,
      system_fingerprint: server,
      choices: [{
        index: 0,
        message: { role: "assistant", content },
        finish_reason: "stop",
      }],
      usage,
    };
  }
}

/** Sends a server-sent event for each token. */
export class EventStreamResponseWriter extends ResponseWriter {
  readonly #includeUsage: boolean;

  constructor(
    response: ServerResponse,
    metadata: CompletionMetadata,
    includeUsage: boolean,
  ) {
    super(response, metadata);
    this.#includeUsage = includeUsage;
  }

  override writeToken(index: number): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
      });
    }
    const { marker, outputTokens } = this.metadata;
    const content = markedToken(marker, index, outputTokens);
    this.#writeEvent({ choices: [{ index: 0, delta: { content } }] });
  }

  override finish(): void {
    this.#writeEvent({
      choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
    });
    if (this.#includeUsage) {
      this.#writeEvent({ choices: [], usage: this.metadata.usage });
    }
    this.response.end("data: [DONE]\n\n");
  }

  override abort(): void {
    this.response.destroy();
  }

  #writeEvent(members: Record<string, unknown>): void {
    const { id, model, server } = this.metadata;
    const event = {
      id,
      object: "chat.completion.chunk",
      model,
      system_fingerprint: server,
      ...members,
    };
    this.response.write(`data: ${JSON.stringify(event)}\n\n`);
  }
}
