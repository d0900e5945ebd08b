/** Emulated model engine: the handler of its HTTP requests. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import { findMarker } from "../markers/marked_text.ts";
import { FaultInjector } from "../faults/fault_injector.ts";
import {
  History,
  recordFailure,
  recordOutcomeOnClose,
} from "../history/history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import { parseJson, readBody, sendJson } from "../server/http_messages.ts";
import {
  EventStreamResponseWriter,
  JsonResponseWriter,
} from "./response_writer.ts";
import type { CompletionMetadata, ResponseWriter } from "./response_writer.ts";
import { Batch } from "./batch.ts";
import { BatchLoop } from "./batch_loop.ts";
import {
  chatCompletionRequestSchema,
  createUsage,
  formatPrompt,
  messageTexts,
  requestedOutputTokens,
} from "./chat_completion.ts";
import type { ChatCompletionRequest } from "./chat_completion.ts";
import type { EngineSettings } from "./engine_settings.ts";
import { CachedLoadReport } from "./load_report.ts";
import { countTokens, PrefixCache } from "./prefix_cache.ts";
import type { Sequence } from "./sequence.ts";

const COMPLETIONS_ROUTE = "POST /v1/chat/completions";

/** Serves chat completions in order of arrival and generates marked tokens. */
export class Engine {
  readonly history: History;
  readonly faultInjector: FaultInjector;
  readonly #settings: EngineSettings;
  readonly #cache: PrefixCache;
  readonly #loop: BatchLoop;
  readonly #loadReport: CachedLoadReport;
  readonly #onCrash: () => void;

  constructor(settings: EngineSettings, onCrash: () => void) {
    this.#settings = settings;
    this.#onCrash = onCrash;
    this.history = new History(settings.name);
    this.faultInjector = new FaultInjector(settings.seed);
    this.#cache = new PrefixCache(settings.cacheTokens);
    const batch = new Batch(settings);
    this.#loop = new BatchLoop(batch, {
      slowFactor: () => this.faultInjector.faults.slowFactor,
      pausedUntil: () => this.faultInjector.pausedUntil,
    });
    this.#loadReport = new CachedLoadReport(settings.reportLag, () => ({
      running: batch.running,
      waiting: batch.waiting,
      cachedTokens: this.#cache.cachedTokens,
    }));
  }

  /** Stops generating; open responses get no more tokens. */
  stop(): void {
    this.#loop.stop();
  }

  /** Handles every request other than those to the control routes. */
  async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const route = `${request.method} ${request.url}`;
    if (route === COMPLETIONS_ROUTE) {
      await this.#handleCompletion(request, response);
      return;
    }
    if (route === "GET /health") {
      this.#sendHealth(response);
      return;
    }
    if (route === "GET /load") {
      sendJson(response, 200, this.#loadReport.read(Date.now()));
      return;
    }
    sendJson(response, 404, { error: { message: `no route ${route}` } });
  }

  #sendHealth(response: ServerResponse): void {
    const { healthy } = this.faultInjector.faults;
    sendJson(response, healthy ? 200 : 503, {
      status: healthy ? "ok" : "unhealthy",
    });
  }

  async #handleCompletion(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parsed = v.safeParse(
      chatCompletionRequestSchema,
      parseJson(await readBody(request)),
    );
    if (!parsed.success) {
      const message = v.summarize(parsed.issues);
      const type = "invalid_request_error";
      sendJson(response, 400, { error: { message, type } });
      return;
    }
    const prompt = formatPrompt(parsed.output);
    const promptTokens = countTokens(prompt);
    const cachedTokens = this.#cache.lookUpAndInsert(prompt);
    const marker = findMarker(prompt);
    const details = { marker, promptTokens, cachedTokens };
    const record = this.history.recordStart(request, details, Date.now());
    recordOutcomeOnClose(record, response);
    if (!this.#injectFault(record, response)) {
      this.#generate(parsed.output, response, record);
    }
  }

  /** Returns true if the request must not be processed any further. */
  #injectFault(record: HistoryRecord, response: ServerResponse): boolean {
    if (this.faultInjector.shouldCrash(record.marker)) {
      this.#crash(record);
      return true;
    }
    const status = this.faultInjector.drawErrorStatus(COMPLETIONS_ROUTE);
    if (status !== undefined) {
      recordFailure(record, Date.now());
      sendJson(response, status, { error: { message: "emulated failure" } });
      return true;
    }
    return this.faultInjector.faults.hang;
  }

  #generate(
    request: ChatCompletionRequest,
    response: ServerResponse,
    record: HistoryRecord,
  ): void {
    const outputTokens = requestedOutputTokens(request);
    const promptTokens = record.promptTokens ?? 0;
    const cachedTokens = record.cachedTokens ?? 0;
    const messages = messageTexts(request);
    const writer = this.#createWriter(request, response, {
      id: `${this.#settings.name}-${record.number}`,
      model: request.model,
      server: this.#settings.name,
      marker: record.marker,
      outputTokens,
      usage: createUsage({ promptTokens, cachedTokens, outputTokens }),
    });
    const sequence: Sequence = {
      remainingPrefillTokens: promptTokens - cachedTokens,
      remainingOutputTokens: outputTokens,
      onToken: () => {
        const index = outputTokens - sequence.remainingOutputTokens;
        if (this.faultInjector.shouldCrashAtFirstToken(messages)) {
          this.#crash(record);
          return;
        }
        this.#emitToken({ writer, record, sequence, index });
      },
    };
    response.once("close", () => this.#loop.remove(sequence));
    this.#loop.add(sequence);
  }

  #crash(record: HistoryRecord): void {
    recordFailure(record, Date.now());
    this.#onCrash();
  }

  #createWriter(
    request: ChatCompletionRequest,
    response: ServerResponse,
    metadata: CompletionMetadata,
  ): ResponseWriter {
    if (!request.stream) {
      return new JsonResponseWriter(response, metadata);
    }
    const includeUsage = request.stream_options?.include_usage ?? false;
    return new EventStreamResponseWriter(response, metadata, includeUsage);
  }

  #emitToken(
    { writer, record, sequence, index }: {
      writer: ResponseWriter;
      record: HistoryRecord;
      sequence: Sequence;
      index: number;
    },
  ): void {
    if (record.outcome !== "running") {
      return;
    }
    const { cutAfterTokens } = this.faultInjector.faults;
    if (cutAfterTokens !== undefined && index > cutAfterTokens) {
      recordFailure(record, Date.now());
      this.#loop.remove(sequence);
      writer.abort();
      return;
    }
    writer.writeToken(index);
    if (index > 1 && this.faultInjector.shouldCrashMidResponse(record.marker)) {
      this.#crash(record);
      return;
    }
    if (sequence.remainingOutputTokens <= 0) {
      writer.finish();
    }
  }
}
