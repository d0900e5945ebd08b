/** One try of a request at one backend server, passed on to its caller. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type { RunOutcome, ServerRecord } from "@sycamorepulley/decisions";
import type { Channel } from "../backend/channel.ts";
import type { Call } from "../front/parsed_request.ts";
import type { AnswerProgress } from "./answer_progress.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { Caller } from "./caller.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeEnd } from "./exchange.ts";
import { silenceLimits } from "./patience.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResolvedRequest } from "./resolve_request.ts";
import { SilenceWatch } from "./silence_watch.ts";

/** Milliseconds without a first part that tell of a dark server. */
const DARK_AFTER = 1500;

/** What is tried. */
export type TriedRequest = {
  context: RequestContext;
  call: Call;
  resolved: ResolvedRequest;
  caller: Caller;
  body: Buffer | undefined;
  progress: AnswerProgress;
};

/** Where it is tried; `ask` is the grant's. */
export type TriedAt = { ask: string; server: ServerRecord; channel: Channel };

/** How it ended, and what that tells of the server. */
export type TryEnd = { end: ExchangeEnd; runEnd: RunOutcome };

/** See the module. */
export class ServerTry {
  readonly #request: TriedRequest;
  readonly #at: TriedAt;
  readonly #exchange: Exchange;
  readonly #sentAt: number;
  #watch: SilenceWatch | undefined;

  constructor(request: TriedRequest, at: TriedAt) {
    this.#request = request;
    this.#at = at;
    this.#sentAt = request.context.clock();
    this.#exchange = this.#newExchange();
  }

  /** Gives the try up; the server is told by the end of its connection. */
  abort(): void {
    this.#exchange.abort();
  }

  /** `silent` is called after a silence, if given; true gives the server up. */
  async run(silent: (() => boolean) | undefined): Promise<TryEnd> {
    const { context, call, resolved, body, progress } = this.#request;
    const { clock, headerNames: names, drainAdmission: closing } = context;
    const { server } = this.#at;
    this.#watch = silent && this.#watched(silent);
    this.#exchange.start({
      method: call.method,
      target: call.target,
      headers: backendHeaders({
        names,
        call,
        resolved,
        server,
        lastEvent: progress.lastEvent,
        now: this.#sentAt,
      }),
      body,
    });
    const end = await this.#exchange.done;
    this.#watch?.end();
    const time = clock() - this.#sentAt;
    if (end.kind === "stream") {
      closing.streamDurations.observe(resolved.cost, time);
    }
    const dark = !this.#exchange.heard && time > DARK_AFTER;
    // Its caller left a server that had said nothing for long.
    const sawDark = end.kind === "aborted" && dark;
    return { end, runEnd: sawDark ? "broken" : runEndOf(end) };
  }

  #watched(silent: () => boolean): SilenceWatch {
    const limits = silenceLimits(this.#request.resolved.route);
    return new SilenceWatch(limits, () => {
      if (!silent()) return false;
      this.#exchange.giveUp("silent");
      return true;
    });
  }

  #newExchange(): Exchange {
    const { context, call, caller, progress } = this.#request;
    const { clock, grantClient: granter, headerNames: names } = context;
    const { ask, server, channel } = this.#at;
    return new Exchange({
      names,
      request: call.request,
      channel,
      answered: ({ headers }) => {
        const limit = headers[names.serverLimit.toLowerCase()];
        granter.limits.observe(incarnationOf(server), limit, this.#sentAt);
      },
      first: () => {
        progress.first(clock());
        granter.recordResponseStart(ask, clock() - this.#sentAt);
      },
      sink: {
        begin: (head) => caller.begin(head),
        events: (events, lastId) => {
          progress.passed(lastId, clock());
          this.#watch?.heard();
          caller.events(events);
        },
      },
    });
  }
}

function runEndOf(end: ExchangeEnd): RunOutcome {
  switch (end.kind) {
    case "stream":
      return "answered";
    case "plain":
      return end.head.status >= 500 ? "failed" : "answered";
    case "not_run":
      return end.misdirected ? "misdirected" : "not_run";
    case "broken":
      return "broken";
    case "aborted":
      return "abandoned";
  }
}
