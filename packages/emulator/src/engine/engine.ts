/** An emulated model engine behind HTTP. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { findMarker } from "../markers/marked_text.ts";
import { FaultSwitch } from "../faults/fault_switch.ts";
import { failRecord, followAnswer, History } from "../history/history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import { parseJson, readText, sendJson } from "../server/http_messages.ts";
import { StreamedAnswerWriter, WholeAnswerWriter } from "./answer_writer.ts";
import type { AnswerFacts, AnswerWriter } from "./answer_writer.ts";
import { Batch } from "./batch.ts";
import { BatchLoop } from "./batch_loop.ts";
import {
  chatCompletionRequestSchema,
  outputTokensOf,
  promptOf,
  usageOf,
} from "./chat_completion.ts";
import type { ChatCompletionRequest } from "./chat_completion.ts";
import type { EngineSettings } from "./engine_settings.ts";
import { LaggingLoadReport } from "./load_report.ts";
import { PrefixCache, tokensOf } from "./prefix_cache.ts";
import type { Sequence } from "./sequence.ts";

const COMPLETIONS_ROUTE = "POST /v1/chat/completions";

/** Takes requests as they come and generates marked tokens. */
export class Engine {
  readonly history: History;
  readonly faultSwitch: FaultSwitch;
  readonly #settings: EngineSettings;
  readonly #cache: PrefixCache;
  readonly #loop: BatchLoop;
  readonly #load: LaggingLoadReport;
  readonly #crash: () => void;

  constructor(settings: EngineSettings, crash: () => void) {
    this.#settings = settings;
    this.#crash = crash;
    this.history = new History(settings.name);
    this.faultSwitch = new FaultSwitch(settings.seed);
    this.#cache = new PrefixCache(settings.cacheTokens);
    const batch = new Batch(settings);
    this.#loop = new BatchLoop(
      batch,
      () => this.faultSwitch.faults.slowFactor,
    );
    this.#load = new LaggingLoadReport(settings.reportLag, () => ({
      running: batch.running,
      waiting: batch.waiting,
      cachedTokens: this.#cache.cachedTokens,
    }));
  }

  /** Generates nothing more. */
  stop(): void {
    this.#loop.stop();
  }

  /** Answers every request that is no control request. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const route = `${request.method} ${request.url}`;
    if (route === COMPLETIONS_ROUTE) {
      await this.#complete(request, response);
      return;
    }
    if (route === "GET /health") {
      this.#answerHealth(response);
      return;
    }
    if (route === "GET /load") {
      sendJson(response, 200, this.#load.read(Date.now()));
      return;
    }
    sendJson(response, 404, { error: { message: `no route ${route}` } });
  }

  #answerHealth(response: ServerResponse): void {
    const { healthy } = this.faultSwitch.faults;
    sendJson(response, healthy ? 200 : 503, {
      status: healthy ? "ok" : "unhealthy",
    });
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = v.safeParse(
      chatCompletionRequestSchema,
      parseJson(await readText(request)),
    );
    if (!parsed.success) {
      const message = v.summarize(parsed.issues);
      const type = "invalid_request_error";
      sendJson(response, 400, { error: { message, type } });
      return;
    }
    const prompt = promptOf(parsed.output);
    const promptTokens = tokensOf(prompt);
    const cachedTokens = this.#cache.use(prompt);
    const marker = findMarker(prompt);
    const facts = { marker, promptTokens, cachedTokens };
    const record = this.history.start(request, facts, Date.now());
    followAnswer(record, response);
    if (!this.#failsEarly(record, response)) {
      this.#generate(parsed.output, response, record);
    }
  }

  #failsEarly(record: HistoryRecord, response: ServerResponse): boolean {
    if (this.faultSwitch.crashes(record.marker)) {
      failRecord(record, Date.now());
      this.#crash();
      return true;
    }
    const status = this.faultSwitch.errorStatus(COMPLETIONS_ROUTE);
    if (status !== undefined) {
      failRecord(record, Date.now());
      sendJson(response, status, { error: { message: "emulated failure" } });
      return true;
    }
    return this.faultSwitch.faults.hang;
  }

  #generate(
    request: ChatCompletionRequest,
    response: ServerResponse,
    record: HistoryRecord,
  ): void {
    const outputTokens = outputTokensOf(request);
    const promptTokens = record.promptTokens ?? 0;
    const cachedTokens = record.cachedTokens ?? 0;
    const writer = this.#writer(request, response, {
      id: `${this.#settings.name}-${record.number}`,
      model: request.model,
      server: this.#settings.name,
      marker: record.marker,
      outputTokens,
      usage: usageOf({ promptTokens, cachedTokens, outputTokens }),
    });
    const sequence: Sequence = {
      prefillLeft: promptTokens - cachedTokens,
      outputLeft: outputTokens,
      onToken: () => {
        const index = outputTokens - sequence.outputLeft;
        this.#token({ writer, record, sequence, index });
      },
    };
    response.once("close", () => this.#loop.remove(sequence));
    this.#loop.add(sequence);
  }

  #writer(
    request: ChatCompletionRequest,
    response: ServerResponse,
    facts: AnswerFacts,
  ): AnswerWriter {
    if (!request.stream) {
      return new WholeAnswerWriter(response, facts);
    }
    const includeUsage = request.stream_options?.include_usage ?? false;
    return new StreamedAnswerWriter(response, facts, includeUsage);
  }

  #token(
    { writer, record, sequence, index }: {
      writer: AnswerWriter;
      record: HistoryRecord;
      sequence: Sequence;
      index: number;
    },
  ): void {
    if (record.outcome !== "running") {
      return;
    }
    const { cutAfterTokens } = this.faultSwitch.faults;
    if (cutAfterTokens !== undefined && index > cutAfterTokens) {
      failRecord(record, Date.now());
      this.#loop.remove(sequence);
      writer.cut();
      return;
    }
    writer.token(index);
    if (index > 1 && this.faultSwitch.crashesMidAnswer(record.marker)) {
      failRecord(record, Date.now());
      this.#crash();
      return;
    }
    if (sequence.outputLeft <= 0) {
      writer.finish();
    }
  }
}
