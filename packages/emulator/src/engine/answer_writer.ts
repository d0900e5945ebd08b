/** Writes an engine's answer, whole or as server-sent events. @module */
import type { ServerResponse } from "node:http";
import { markedText, markedToken } from "../markers/marked_text.ts";
import { sendCutJson, sendJson } from "../server/http_messages.ts";
import type { Usage } from "./chat_completion.ts";

/** What the answer says besides its tokens. */
export type AnswerFacts = {
  id: string;
  model: string;
  /** Name of the engine that answers. */
  server: string;
  marker: string | undefined;
  outputTokens: number;
  usage: Usage;
};

/** Receives the tokens of one answer as they are generated. */
export abstract class AnswerWriter {
  protected readonly response: ServerResponse;
  protected readonly facts: AnswerFacts;

  constructor(response: ServerResponse, facts: AnswerFacts) {
    this.response = response;
    this.facts = facts;
  }

  /** Token `index`, from 1. */
  abstract token(index: number): void;

  /** All tokens have been given. */
  abstract finish(): void;

  /** Drops the connection in the midst of the answer. */
  abstract cut(): void;
}

/** Answers at the end with one JSON document. */
export class WholeAnswerWriter extends AnswerWriter {
  override token(): void {}

  override finish(): void {
    sendJson(this.response, 200, this.#document());
  }

  override cut(): void {
    sendCutJson(this.response, this.#document());
  }

  #document(): unknown {
    const { id, model, server, marker, outputTokens, usage } = this.facts;
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

/** Answers with an event for each token. */
export class StreamedAnswerWriter extends AnswerWriter {
  readonly #includeUsage: boolean;

  constructor(
    response: ServerResponse,
    facts: AnswerFacts,
    includeUsage: boolean,
  ) {
    super(response, facts);
    this.#includeUsage = includeUsage;
  }

  override token(index: number): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-cache",
      });
    }
    const { marker, outputTokens } = this.facts;
    const content = markedToken(marker, index, outputTokens);
    this.#event({ choices: [{ index: 0, delta: { content } }] });
  }

  override finish(): void {
    this.#event({ choices: [{ index: 0, delta: {}, finish_reason: "stop" }] });
    if (this.#includeUsage) {
      this.#event({ choices: [], usage: this.facts.usage });
    }
    this.response.end("data: [DONE]\n\n");
  }

  override cut(): void {
    this.response.destroy();
  }

  #event(members: Record<string, unknown>): void {
    const { id, model, server } = this.facts;
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
