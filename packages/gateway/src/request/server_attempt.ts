/** One attempt to run a request at one backend server. @module */
import {
  incarnationOf,
  parseRetryAfter,
  parseServerLoad,
} from "@sycamorepulley/decisions";
import type { RunOutcome, ServerRecord } from "@sycamorepulley/decisions";
import type {
  BackendConnection,
  CloseDelimitedEnd,
  ResponseHead,
} from "../backend/backend_connection.ts";
import { isCloseDelimited } from "../backend/close_delimited.ts";
import type {
  ProcessEvidence,
  ProcessWitness,
} from "@sycamorepulley/receiving";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { ResponseProgress } from "./response_progress.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { CallerConnection } from "./caller_connection.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeResult } from "./exchange.ts";
import { silenceTimeouts } from "./timeouts.ts";
import type { RequestContext } from "./request_context.ts";
import type { RunClosure } from "./run_closure.ts";
import type { ResolvedRequest } from "./resolve_request.ts";
import { statesLeaving } from "./server_notices.ts";
import { SilenceWatchdog } from "./silence_watchdog.ts";

/**
 * Milliseconds without a first part of the response after which a server counts
 * as unresponsive.
 */
const UNRESPONSIVE_AFTER = 1500;

/** Lowest HTTP status of a server's own errors. */
const FIRST_SERVER_ERROR = 500;
/** HTTP status of a server that turns a request away for its own state. */
const UNAVAILABLE = 503;

/** The request, and the state that all attempts of it share. */
export type AttemptRequest = {
  context: RequestContext;
  parsed: ParsedRequest;
  resolved: ResolvedRequest;
  caller: CallerConnection;
  body: Buffer | undefined;
  progress: ResponseProgress;
};

/** The granted server and a connection to it; `grantId` names the grant. */
export type AttemptTarget = {
  grantId: string;
  server: ServerRecord;
  connection: BackendConnection;
};

/** On what evidence a response without a length was judged. */
export type EndEvidence = {
  /** How its connection ended; absent if the gateway closed it. */
  end: CloseDelimitedEnd | undefined;
  /** Whether the server's process lives, if that was asked. */
  process: ProcessEvidence | "refusing" | undefined;
  /** True if a stream has all tokens that its request may get. */
  hasAllTokens: boolean;
  /** Milliseconds from the last bytes of the body to its end. */
  silence: number;
};

/**
 * How an attempt ended, the outcome that the server is judged by, and the
 * milliseconds since the request was sent.
 */
export type AttemptResult = {
  result: ExchangeResult;
  runOutcome: RunOutcome;
  time: number;
  /** Set if the gateway ended the run. */
  closure: RunClosure | undefined;
  /** Set if the end of the response is that of its connection. */
  endEvidence: EndEvidence | undefined;
};

/** What an attempt reports while it runs. */
export type AttemptHooks = {
  /** A part of a stream has arrived; returns true if it may be passed on. */
  onPart: () => boolean;
  /** The server has been silent for too long; called repeatedly. */
  onSilence: () => void;
  /** The response has ended, before the server is judged by it. */
  onEnd: (result: ExchangeResult) => void;
};

/** Sends a request to a server and passes the response on to the caller. */
export class ServerAttempt {
  readonly #request: AttemptRequest;
  readonly #target: AttemptTarget;
  readonly #exchange: Exchange;
  readonly #hooks: AttemptHooks;
  readonly #sentAt: number;
  #watchdog: SilenceWatchdog | undefined;
  /** True while the server is silent for too long. */
  wasSilent = false;
  /** True once the response was not read, as its caller did not read. */
  #wasPaused = false;
  #closure: RunClosure | undefined;
  #ended = false;
  /** Set while a response arrives that ends with its connection. */
  #processWitness: ProcessWitness | undefined;
  #processEvidence: EndEvidence["process"];
  #lastBytesAt: number;

  constructor(
    request: AttemptRequest,
    target: AttemptTarget,
    hooks: AttemptHooks,
  ) {
    this.#request = request;
    this.#target = target;
    this.#hooks = hooks;
    this.#sentAt = request.context.clock();
    this.#lastBytesAt = this.#sentAt;
    this.#exchange = this.#createExchange();
  }

  /** Cancels the attempt; closing the connection tells the server. */
  abort(closure: RunClosure): void {
    if (!this.#ended) this.#closure ??= closure;
    this.#exchange.abort();
  }

  /** Cancels the attempt as broken: its server is judged by its silence. */
  failSilent(closure: RunClosure): void {
    if (!this.#ended) this.#closure ??= closure;
    this.#exchange.fail("silent");
  }

  /** Runs to the end of the response. */
  async run(): Promise<AttemptResult> {
    const result = await this.#exchangeResult();
    this.#ended = true;
    this.#hooks.onEnd(result);
    const endedAt = this.#request.context.clock();
    const time = endedAt - this.#sentAt;
    const closure = this.#closure;
    const judged = await this.#judge(result, time);
    this.#processWitness?.stop();
    const endEvidence = this.#endEvidence(judged.result, endedAt);
    if (judged.runOutcome === "broken" && this.#wasCutOff(result)) {
      this.#request.caller.recordBreak();
    }
    return { ...judged, time, closure, endEvidence };
  }

  #endEvidence(
    result: ExchangeResult,
    endedAt: number,
  ): EndEvidence | undefined {
    if (this.#processWitness === undefined || result.kind === "aborted") {
      return undefined;
    }
    return {
      end: this.#target.connection.closeDelimitedEnd,
      process: this.#processEvidence,
      hasAllTokens: this.#hasAllTokens(result),
      silence: endedAt - this.#lastBytesAt,
    };
  }

  /** Whether the server, not the gateway, ended a response that was paused. */
  #wasCutOff(result: ExchangeResult): boolean {
    return this.#wasPaused && result.kind === "broken" && !result.oversized &&
      this.#closure === undefined;
  }

  async #exchangeResult(): Promise<ExchangeResult> {
    const { context, parsed, resolved, body, progress } = this.#request;
    const { server } = this.#target;
    this.#watchdog = this.#createWatchdog();
    this.#exchange.start({
      method: parsed.method,
      target: parsed.target,
      headers: backendHeaders({
        headerNames: context.headerNames,
        parsed,
        resolved,
        server,
        lastEventId: progress.lastEventId,
        now: this.#sentAt,
      }),
      body,
    });
    const result = await this.#exchange.done;
    this.#watchdog.stop();
    return result;
  }

  async #judge(
    result: ExchangeResult,
    time: number,
  ): Promise<Pick<AttemptResult, "result" | "runOutcome">> {
    const { context, resolved } = this.#request;
    const { drainAdmission } = context;
    if (result.kind === "stream") {
      drainAdmission.streamDurations.observe(resolved.cost, time);
    }
    const unresponsive = !this.#exchange.firstPartReceived &&
      time > UNRESPONSIVE_AFTER;
    // Cancelled after the server had sent nothing for a long time: the server
    // is judged by that.
    const cancelledUnresponsive = result.kind === "aborted" && unresponsive;
    if (cancelledUnresponsive) return { result, runOutcome: "broken" };
    if (await this.#hasServerEnded(result)) return this.#endOfServer(result);
    if (await this.#hasServerRestarted(result)) {
      const detail = "the server has restarted, the response may be cut";
      return { result: { kind: "broken", detail }, runOutcome: "broken" };
    }
    return { result, runOutcome: runOutcomeOf(result) };
  }

  /**
   * Whether the server has ended, and a response with it that is not known to be
   * whole.
   */
  async #hasServerEnded(result: ExchangeResult): Promise<boolean> {
    const mayHaveEnded = result.kind === "broken"
      ? this.#closure === undefined
      : this.#mayBeCut(result);
    if (!mayHaveEnded) return false;
    const { connectionPool } = this.#request.context;
    const isRefusing = await connectionPool.isRefusing(this.#target.server);
    if (isRefusing) this.#processEvidence = "refusing";
    return isRefusing;
  }

  /**
   * Whether another process has taken the place of the server, as none of its
   * connections has outlived a response that is not known to be whole.
   */
  async #hasServerRestarted(result: ExchangeResult): Promise<boolean> {
    if (!this.#mayBeCut(result)) return false;
    this.#processEvidence = await this.#processWitness?.evidence();
    return this.#processEvidence === "ended";
  }

  /**
   * Whether a response that seems complete may be cut: the connections of a
   * process that ends close as after a response that ends with its connection.
   */
  #mayBeCut(result: ExchangeResult): boolean {
    return this.#endsWithConnection(result) && !this.#hasAllTokens(result);
  }

  /** Whether only the end of the connection marked the end of the response. */
  #endsWithConnection(result: ExchangeResult): boolean {
    if (this.#request.parsed.method === "HEAD") return false;
    if (result.kind === "stream") return result.closeDelimited;
    return result.kind === "plain" && isCloseDelimited(result.head);
  }

  /** Whether a stream has all tokens that its request may get. */
  #hasAllTokens(result: ExchangeResult): boolean {
    const { parsed, resolved, progress, context } = this.#request;
    const { outputTokens = 0 } = parsed.statedTokens ?? {};
    if (result.kind !== "stream" || outputTokens === 0) return false;
    const { services } = context.activeConfiguration()?.configuration ?? {};
    const { tokensPerEvent = 1 } = services?.get(resolved.service) ?? {};
    return progress.endsWithEvent(Math.ceil(outputTokens / tokensPerEvent));
  }

  /**
   * What a run counts as whose server has ended. A server that is leaving may
   * have stopped after its last response, so that this is no crash; whether the
   * response is whole is as uncertain.
   */
  #endOfServer(
    result: ExchangeResult,
  ): Pick<AttemptResult, "result" | "runOutcome"> {
    const server = incarnationOf(this.#target.server);
    const isLeaving = this.#request.context.findServer(server) === undefined;
    if (result.kind !== "broken" && isLeaving) {
      const detail = "the server has stopped, the response may be cut";
      return { result: { kind: "broken", detail }, runOutcome: "broken" };
    }
    const detail = "the server has crashed";
    return { result: { kind: "broken", detail }, runOutcome: "crashed" };
  }

  #createWatchdog(): SilenceWatchdog {
    const timeouts = silenceTimeouts(this.#request.resolved.route);
    return new SilenceWatchdog(timeouts, () => {
      if (this.#exchange.isPaused) return;
      this.wasSilent = true;
      this.#hooks.onSilence();
    });
  }

  #createExchange(): Exchange {
    const { context, parsed, caller, progress } = this.#request;
    const { clock, grantClient, headerNames } = context;
    const { grantId, connection } = this.#target;
    return new Exchange({
      headerNames,
      requestId: parsed.requestId,
      connection,
      held: context.memory.openBytes(),
      onHead: (head) => this.#readNotices(head),
      onBytes: () => {
        this.#lastBytesAt = clock();
        this.#endSilence();
      },
      onFirstPart: (status) => {
        progress.recordFirstPart(clock());
        // An error at once says nothing of the server's speed.
        if (status >= FIRST_SERVER_ERROR) return;
        grantClient.recordResponseStart(grantId, clock() - this.#sentAt);
      },
      sink: {
        onStart: (head) => {
          if (this.#mayPassOn()) caller.startStream(head);
        },
        onEvents: (events, lastEventId) => {
          if (!this.#mayPassOn()) return true;
          progress.recordEvents(lastEventId, clock());
          return caller.sendEvents(events);
        },
        onceDrained: (action) => {
          this.#wasPaused = true;
          caller.onceDrained(action);
        },
        onResume: () => {
          progress.recordCallerDelay(clock());
          this.#watchdog?.reset();
        },
      },
    });
  }

  /** Records that a part of a stream has arrived. */
  #mayPassOn(): boolean {
    this.#endSilence();
    return this.#hooks.onPart();
  }

  #endSilence(): void {
    this.wasSilent = false;
    this.#watchdog?.reset();
  }

  /** Reads what the server states about itself. */
  #readNotices(head: ResponseHead): void {
    if (this.#request.parsed.method !== "HEAD" && isCloseDelimited(head)) {
      this.#processWitness = this.#request.context.connectionPool
        .watchProcess(this.#target.server, this.#target.connection);
    }
    const { grantClient, headerNames, recordLeaving } = this.#request.context;
    const server = incarnationOf(this.#target.server);
    const limit = head.headers[headerNames.serverLimit.toLowerCase()];
    grantClient.limits.observe(server, limit, this.#sentAt);
    this.#readLoad(server, head);
    if (statesLeaving(head, headerNames)) recordLeaving(server);
    if (head.status === UNAVAILABLE) this.#readBackoff(server, head);
  }

  /** Reads how busy the server and its machine are. */
  #readLoad(server: string, head: ResponseHead): void {
    const { grantClient, headerNames, log, metrics } = this.#request.context;
    const parsed = parseServerLoad(
      head.headers[headerNames.serverLoad.toLowerCase()],
    );
    if (parsed.isErr) {
      metrics.unreadableServerLoads.inc();
      const { error: value } = parsed;
      log.write({ event: "server_load_unreadable", server, value });
      return;
    }
    if (parsed.value === undefined) return;
    grantClient.recordServerLoad(this.#target.grantId, parsed.value);
  }

  /** Reads for how long the server wants no further requests. */
  #readBackoff(server: string, { headers }: ResponseHead): void {
    const { grantClient, clock, log } = this.#request.context;
    const requested = parseRetryAfter(headers["retry-after"]);
    if (requested.isErr) {
      const { error: value } = requested;
      log.write({ event: "server_backoff_unreadable", server, value });
      return;
    }
    const duration = requested.value;
    if (duration === undefined) return;
    grantClient.backoffs.record(server, duration, clock());
    log.write({ event: "server_backoff", server, duration });
  }
}

function runOutcomeOf(result: ExchangeResult): RunOutcome {
  switch (result.kind) {
    case "stream":
      return "answered";
    case "plain":
      return result.head.status >= FIRST_SERVER_ERROR ? "failed" : "answered";
    case "not_run":
      return result.misdirected ? "misdirected" : "not_run";
    case "broken":
      return "broken";
    case "aborted":
      return "abandoned";
  }
}
