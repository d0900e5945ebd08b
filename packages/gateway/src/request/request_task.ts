/**
 * One caller's request from its arrival to its final answer.
 *
 * Where it stands decides what may be said of it. Until something was written to
 * a server, it has not run, and a refusal says so truly. Once written, only the
 * server's own word says that it did not run; all else may have run, is not sent
 * again unless it may be repeated, and is never answered as not run.
 * @module
 */
import { createHash } from "node:crypto";
import { incarnationOf, mayRepeat } from "@sycamorepulley/decisions";
import type { RunEnd, ServerRecord } from "@sycamorepulley/decisions";
import type { Channel } from "../backend/channel.ts";
import type { Call } from "../front/call.ts";
import type { GrantAnswer } from "../peers/granter.ts";
import type { Caller } from "./caller.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeEnd } from "./exchange.ts";
import type { ReplyReason } from "./reply.ts";
import { statusOf } from "./reply.ts";
import { SilenceWatch } from "./silence_watch.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResolvedCall } from "./resolve_call.ts";

/** Grants that one request may use up, whatever became of them. */
const MOST_GRANTS = 6;
/** Milliseconds that must be left for a server to be sent anything. */
const LEAST_TIME_LEFT = 20;
/** Milliseconds after which a refused caller may come back, if nothing is known. */
const DEFAULT_RETRY_AFTER = 300;
/**
 * Milliseconds after which callers of a stream leave while nothing comes: the
 * longest of this, four times the goal and eight times the longest pause.
 */
const STREAM_PATIENCE = 2000;
const STREAM_PATIENCE_GOALS = 4;
const STREAM_PATIENCE_PAUSES = 8;
/** Milliseconds of that patience that a server needs for a first event. */
const FIRST_EVENT_RESERVE = 400;

/**
 * Silences after which a request that may be repeated is sent elsewhere: goals
 * until the first part, allowed pauses between parts, and their least time in
 * milliseconds. First parts come within 0.3 s of sending, as only free places
 * are granted; callers leave after 2 s.
 */
const SILENT_GOALS = 2;
const SILENT_PAUSES = 4;
const LEAST_SILENCE = 400;
/** Milliseconds without a first part that tell of a dark server. */
const DARK_AFTER = 1500;

/** See the module. */
export class RequestTask {
  readonly #context: RequestContext;
  readonly #call: Call;
  readonly #resolved: ResolvedCall;
  readonly #caller: Caller;
  readonly #body: Buffer | undefined;
  readonly #fingerprint: string;
  readonly #avoid: string[] = [];
  /** Servers that something was written to and that may have run it. */
  #sent = 0;
  #mayHaveRun = false;
  #lastEvent: string | undefined;
  #stop: (() => void) | undefined;
  #timeUp = false;
  /** The resend after a silence is paid for already. */
  #retryTaken = false;
  /** The caller left a server that had said nothing for long. */
  #sawDark = false;
  /** The caller has its final answer, or none is owed any more. */
  #final = false;
  #firstAt: number | undefined;
  #events = 0;
  #heardAt: number | undefined;
  #longestPause = 0;

  constructor(
    options: {
      context: RequestContext;
      call: Call;
      resolved: ResolvedCall;
      caller: Caller;
      body: Buffer | undefined;
    },
  ) {
    this.#context = options.context;
    this.#call = options.call;
    this.#resolved = options.resolved;
    this.#caller = options.caller;
    this.#body = options.body;
    this.#fingerprint = fingerprintOf(
      options.call,
      options.body,
      options.context.names.request,
    );
  }

  /** The caller has left: nothing more is done for it. */
  left(): void {
    this.#stop?.();
  }

  async run(): Promise<void> {
    const { clock } = this.#context;
    const left = this.#resolved.limitAt - clock();
    const timer = setTimeout(() => {
      this.#timeUp = true;
      this.#stop?.();
    }, Math.max(0, left));
    try {
      await this.#attempts();
    } finally {
      clearTimeout(timer);
    }
  }

  async #attempts(): Promise<void> {
    for (let grant = 1; grant <= MOST_GRANTS; grant++) {
      if (this.#over()) return;
      const answer = await this.#ask(grant);
      if (this.#over()) {
        // A grant that is kept without a request takes a place for ever.
        if (answer !== undefined) this.#context.granter.withdraw(answer.id);
        return;
      }
      if (answer === undefined) continue;
      await this.#sendTo(answer.id, answer.server);
    }
    if (this.#over()) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** True when the caller has left or the time is up; the latter is answered. */
  #over(): boolean {
    if (this.#final) return true;
    if (this.#caller.left) {
      this.#final = true;
      this.#logLeft();
      return true;
    }
    const left = this.#resolved.limitAt - this.#context.clock();
    if (!this.#timeUp && left >= LEAST_TIME_LEFT) return false;
    this.#giveUp("time_up");
    return true;
  }

  /** A granted server; `undefined` after a refusal, or to ask again. */
  async #ask(
    grant: number,
  ): Promise<{ id: string; server: ServerRecord } | undefined> {
    const { granter, clock, server, log } = this.#context;
    const { route, service, organisation, tierRank, cost, charge } =
      this.#resolved;
    const asked = clock();
    const { id, answer } = granter.ask({
      service,
      organisation,
      tierRank,
      cost,
      charge,
      dataCentre: this.#context.dataCentre,
      arrived: this.#call.arrived,
      goalAt: this.#call.arrived + route.goal,
      lapsesAt: this.#lapsesAt(asked),
      endsAt: this.#resolved.limitAt,
      fingerprint: this.#fingerprint,
      spread: this.#context.random(),
      avoid: [...this.#avoid],
      resumed: this.#lastEvent !== undefined,
    });
    const verdict = await this.#orStopped(answer);
    if (verdict === undefined) {
      granter.withdraw(id);
      return undefined;
    }
    if (verdict.kind === "refuse") {
      this.#giveUp(verdict.reason, verdict.retryAfter);
      return undefined;
    }
    const record = server(verdict.server);
    if (record === undefined) {
      // It is leaving, and the one that granted has not heard of it yet.
      granter.withdraw(id);
      this.#avoid.push(verdict.server);
      return undefined;
    }
    const waited = Math.round(clock() - asked);
    this.#context.metrics.waited.observe(
      { service, route: route.name },
      waited / 1000,
    );
    log.write({
      event: "granted",
      request: this.#call.request,
      server: record.id,
      waited,
      by: verdict.by,
      version: this.#context.inForce()?.configuration.version ?? 0,
      attempt: grant,
    });
    return { id, server: record };
  }

  async #sendTo(ask: string, server: ServerRecord): Promise<void> {
    const { pool, granter } = this.#context;
    const incarnation = incarnationOf(server);
    const strict = !mayRepeat(this.#resolved.route);
    const channel = await pool.take(server, strict);
    if (channel.isErr) {
      granter.ended(ask, channel.error);
      this.#avoid.push(incarnation);
      this.#spendRetry(server, channel.error);
      return;
    }
    if (this.#caller.left || this.#timeUp || this.#gone(incarnation)) {
      granter.withdraw(ask);
      pool.give(server, channel.value);
      return;
    }
    const end = await this.#exchange(ask, server, channel.value);
    this.#settle(ask, server, channel.value, end);
  }

  #gone(incarnation: string): boolean {
    if (this.#context.server(incarnation) !== undefined) return false;
    this.#avoid.push(incarnation);
    return true;
  }

  async #exchange(
    ask: string,
    server: ServerRecord,
    channel: Channel,
  ): Promise<ExchangeEnd> {
    const { clock, granter, names } = this.#context;
    const sentAt = clock();
    const exchange = new Exchange({
      names,
      request: this.#call.request,
      channel,
      first: () => {
        this.#firstAt ??= clock();
        granter.firstAnswer(ask, clock() - sentAt);
      },
      sink: {
        begin: (head) => this.#caller.begin(head),
        events: (events, lastId) => {
          this.#lastEvent = lastId ?? this.#lastEvent;
          this.#noteEvents(clock());
          watch?.heard();
          this.#caller.events(events);
        },
      },
    });
    const watch = this.#watch(server, exchange);
    this.#stop = () => exchange.abort();
    this.#sent++;
    this.#mayHaveRun = true;
    exchange.start({
      method: this.#call.method,
      target: this.#call.target,
      headers: this.#headers(server, sentAt),
      body: this.#body,
    });
    const end = await exchange.done;
    watch?.end();
    this.#stop = undefined;
    const dark = !exchange.heard && clock() - sentAt > DARK_AFTER;
    this.#sawDark = end.kind === "aborted" && dark;
    return end;
  }

  /** Tokens after the first event, and the time that they took. */
  #decoded(): { tokens: number; measured: number } {
    const { inForce, clock } = this.#context;
    const service = inForce()?.configuration.services.get(
      this.#resolved.service,
    );
    const events = Math.max(0, this.#events - 1);
    const resumed = this.#sent > 1 || this.#firstAt === undefined;
    if (events === 0 || resumed) return { tokens: 0, measured: 0 };
    return {
      tokens: events * (service?.tokensPerEvent ?? 1),
      measured: clock() - this.#firstAt!,
    };
  }

  #noteEvents(now: number): void {
    this.#events++;
    const pause = now - (this.#heardAt ?? now);
    this.#heardAt = now;
    this.#longestPause = Math.max(this.#longestPause, pause);
  }

  /** Watches an exchange whose request may go on at another server. */
  #watch(server: ServerRecord, exchange: Exchange): SilenceWatch | undefined {
    if (!this.#mayTryAnother()) return undefined;
    const { goal, longestPause } = this.#resolved.route;
    const limits = {
      first: Math.max(LEAST_SILENCE, SILENT_GOALS * goal),
      between: Math.max(LEAST_SILENCE, SILENT_PAUSES * (longestPause ?? goal)),
    };
    return new SilenceWatch(limits, () => {
      if (!this.#takeRetry(server, "silent")) return false;
      this.#retryTaken = true;
      exchange.giveUp("silent");
      return true;
    });
  }

  #settle(
    ask: string,
    server: ServerRecord,
    channel: Channel,
    end: ExchangeEnd,
  ): void {
    const { granter, pool } = this.#context;
    const { tokens, measured } = this.#decoded();
    const runEnd = this.#sawDark ? "broken" : runEndOf(end);
    granter.ended(ask, runEnd, tokens, measured);
    switch (end.kind) {
      case "stream":
        pool.give(server, channel);
        this.#final = true;
        this.#caller.end(end.unframed);
        this.#logAnswered(server, 200);
        return;
      case "plain":
        pool.give(server, channel);
        this.#plain(server, end);
        return;
      case "not_run":
        pool.give(server, channel);
        this.#notRun();
        this.#avoid.push(incarnationOf(server));
        this.#spendRetry(server, "not_run");
        return;
      case "broken":
        this.#avoid.push(incarnationOf(server));
        this.#broken(server, end.detail);
        return;
      case "aborted":
    }
  }

  /** A server said that it did not run what was sent to it last. */
  #notRun(): void {
    this.#sent--;
    this.#mayHaveRun = this.#sent > 0;
  }

  #plain(
    server: ServerRecord,
    end: Extract<ExchangeEnd, { kind: "plain" }>,
  ): void {
    const failed = end.head.status >= 500;
    if (failed && this.#mayTryAnother() && this.#takeRetry(server, "failed")) {
      this.#avoid.push(incarnationOf(server));
      return;
    }
    if (this.#caller.begun) {
      this.#cut(server, `status ${end.head.status} to a resumed stream`);
      return;
    }
    this.#final = true;
    this.#caller.answer(end.head, end.body);
    this.#logAnswered(server, end.head.status);
  }

  #broken(server: ServerRecord, detail: string): void {
    if (this.#retryTaken) {
      this.#retryTaken = false;
      return;
    }
    if (this.#mayTryAnother() && this.#takeRetry(server, "broken")) return;
    if (this.#caller.begun) this.#cut(server, detail);
    else this.#giveUp("broken");
  }

  /** What may have run may go to another server only if it may be repeated. */
  #mayTryAnother(): boolean {
    const { route } = this.#resolved;
    return mayRepeat(route) && this.#sent < route.maximumServers;
  }

  /** Goes on after a try that did not run the request, or answers finally. */
  #spendRetry(server: ServerRecord, reason: string): void {
    if (this.#takeRetry(server, reason)) return;
    this.#giveUp("not_run", DEFAULT_RETRY_AFTER);
  }

  /** Takes a resend from the service's budget; false when it is spent. */
  #takeRetry(server: ServerRecord, reason: string): boolean {
    const { retryBudget, metrics, log, clock } = this.#context;
    const { service } = this.#resolved;
    if (!retryBudget(service).allow(clock())) return false;
    metrics.retries.inc({ service, reason });
    log.write({
      event: "retried",
      request: this.#call.request,
      server: server.id,
      reason,
      sent: this.#sent,
    });
    return true;
  }

  #giveUp(reason: ReplyReason, retryAfter?: number): void {
    const { clock, metrics, log } = this.#context;
    if (this.#caller.left || this.#final) return;
    if (this.#caller.begun) {
      this.#cut(undefined, reason);
      return;
    }
    this.#final = true;
    const status = statusOf(reason, this.#mayHaveRun);
    const left = this.#resolved.limitAt - clock();
    const wait = retryAfter === undefined
      ? undefined
      : Math.min(retryAfter, Math.max(0, left / 3));
    this.#caller.refuse(status, reason, wait);
    const { service } = this.#resolved;
    if (this.#mayHaveRun) metrics.failures.inc({ service, reason });
    else metrics.refusals.inc({ service, reason });
    log.write({
      event: "refused",
      request: this.#call.request,
      status,
      reason,
      waited: Math.round(clock() - this.#call.arrived),
      retryAfter: Math.round(wait ?? 0),
      version: this.#context.inForce()?.configuration.version ?? 0,
    });
  }

  #cut(server: ServerRecord | undefined, reason: string): void {
    const { clock, metrics, log } = this.#context;
    this.#final = true;
    this.#caller.cut();
    metrics.failures.inc({ service: this.#resolved.service, reason: "cut" });
    log.write({
      event: "cut",
      request: this.#call.request,
      server: server?.id ?? "",
      reason,
      time: Math.round(clock() - this.#call.arrived),
    });
  }

  /** The answer, or `undefined` once the caller left or the time was up. */
  #orStopped(answer: Promise<GrantAnswer>): Promise<GrantAnswer | undefined> {
    return new Promise((resolve) => {
      this.#stop = () => resolve(undefined);
      if (this.#caller.left || this.#timeUp) resolve(undefined);
      void answer.then((verdict) => {
        this.#stop = undefined;
        resolve(verdict);
      });
    });
  }

  #lapsesAt(now: number): number {
    const { route, limitAt } = this.#resolved;
    if (route.repeatability !== "streaming") {
      return limitAt - LEAST_TIME_LEFT;
    }
    const patience = Math.max(
      STREAM_PATIENCE,
      STREAM_PATIENCE_GOALS * route.goal,
      STREAM_PATIENCE_PAUSES * (route.longestPause ?? 0),
    );
    const from = this.#lastEvent === undefined ? this.#call.arrived : now;
    return Math.min(limitAt, from + patience - FIRST_EVENT_RESERVE);
  }

  #headers(server: ServerRecord, now: number): string[] {
    const { names } = this.#context;
    const { organisation, limitAt } = this.#resolved;
    const headers = this.#lastEvent === undefined
      ? [...this.#call.headers]
      : without(this.#call.headers, names.lastEvent);
    const left = Math.max(1, Math.floor(limitAt - now));
    headers.push(names.timeLeft, String(left));
    headers.push(names.expectedServer, server.id);
    if (organisation !== "") headers.push(names.organisation, organisation);
    if (this.#lastEvent !== undefined) {
      headers.push(names.lastEvent, this.#lastEvent);
    }
    return headers;
  }

  #logAnswered(server: ServerRecord, status: number): void {
    const { clock, metrics, log } = this.#context;
    const { service, route } = this.#resolved;
    const now = clock();
    const first = (this.#firstAt ?? now) - this.#call.arrived;
    const time = now - this.#call.arrived;
    metrics.answers.inc({ service, status: String(status) });
    metrics.firstByte.observe({ service, route: route.name }, first / 1000);
    metrics.whole.observe({ service, route: route.name }, time / 1000);
    log.write({
      event: "answered",
      request: this.#call.request,
      server: server.id,
      status,
      first: Math.round(first),
      time: Math.round(time),
      promptTokens: this.#resolved.cost.promptTokens,
      outputTokens: this.#resolved.cost.outputTokens,
      events: this.#events,
      longestPause: Math.round(this.#longestPause),
    });
  }

  #logLeft(): void {
    const { clock, log, metrics } = this.#context;
    metrics.failures.inc({ service: this.#resolved.service, reason: "left" });
    log.write({
      event: "left",
      request: this.#call.request,
      state: this.#sent > 0 ? "sent" : "waiting",
      time: Math.round(clock() - this.#call.arrived),
    });
  }
}

/** The same for each try of one request, whoever its caller sends it to. */
function fingerprintOf(
  call: Call,
  body: Buffer | undefined,
  ownName: string,
): string {
  const hash = createHash("sha1");
  hash.update(`${call.method} ${call.host}${call.target}\n`);
  hash.update(`${call.credential ?? ""}\n`);
  for (const part of without(call.headers, ownName)) hash.update(`${part}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest("base64url");
}

function runEndOf(end: ExchangeEnd): RunEnd {
  switch (end.kind) {
    case "stream":
      return "answered";
    case "plain":
      return end.head.status >= 500 ? "failed" : "answered";
    case "not_run":
      return "not_run";
    case "broken":
      return "broken";
    case "aborted":
      return "abandoned";
  }
}

function without(headers: readonly string[], name: string): string[] {
  const kept: string[] = [];
  const lower = name.toLowerCase();
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === lower) continue;
    kept.push(headers[index]!, headers[index + 1]!);
  }
  return kept;
}
