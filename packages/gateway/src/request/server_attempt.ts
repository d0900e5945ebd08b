/** One try of a request at one backend server, passed on to its caller. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type { RunOutcome, ServerRecord } from "@sycamorepulley/decisions";
import type { BackendConnection } from "../backend/backend_connection.ts";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { ResponseProgress } from "./response_progress.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { CallerConnection } from "./caller_connection.ts";
import { Exchange } from "./exchange.ts";
import type { ExchangeResult } from "./exchange.ts";
import { silenceTimeouts } from "./timeouts.ts";
import type { RequestContext } from "./request_context.ts";
import type { ResolvedRequest } from "./resolve_request.ts";
import { SilenceWatchdog } from "./silence_watchdog.ts";

/** Milliseconds without a first part that tell of a dark server. */
const UNRESPONSIVE_AFTER = 1500;

/** What is tried. */
export type AttemptRequest = {
  context: RequestContext;
  call: ParsedRequest;
  resolved: ResolvedRequest;
  caller: CallerConnection;
  body: Buffer | undefined;
  progress: ResponseProgress;
};

/** Where it is tried; `ask` is the grant's. */
export type AttemptTarget = {
  ask: string;
  server: ServerRecord;
  channel: BackendConnection;
};

/** How it ended, and what that tells of the server. */
export type AttemptResult = { end: ExchangeResult; runEnd: RunOutcome };

/** See the module. */
export class ServerAttempt {
  readonly #request: AttemptRequest;
  readonly #target: AttemptTarget;
  readonly #exchange: Exchange;
  readonly #sentAt: number;
  #watchdog: SilenceWatchdog | undefined;

  constructor(request: AttemptRequest, at: AttemptTarget) {
    this.#request = request;
    this.#target = at;
    this.#sentAt = request.context.clock();
    this.#exchange = this.#createExchange();
  }

  /** Gives the try up; the server is told by the end of its connection. */
  abort(): void {
    this.#exchange.abort();
  }

  /** `silent` is called after a silence, if given; true gives the server up. */
  async run(silent: (() => boolean) | undefined): Promise<AttemptResult> {
    const { context, call, resolved, body, progress } = this.#request;
    const { clock, headerNames: names, drainAdmission: closing } = context;
    const { server } = this.#target;
    this.#watchdog = silent && this.#createWatchdog(silent);
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
    this.#watchdog?.stop();
    const time = clock() - this.#sentAt;
    if (end.kind === "stream") {
      closing.streamDurations.observe(resolved.cost, time);
    }
    const dark = !this.#exchange.firstPartReceived && time > UNRESPONSIVE_AFTER;
    // Its caller left a server that had said nothing for long.
    const sawDark = end.kind === "aborted" && dark;
    return { end, runEnd: sawDark ? "broken" : runEndOf(end) };
  }

  #createWatchdog(silent: () => boolean): SilenceWatchdog {
    const limits = silenceTimeouts(this.#request.resolved.route);
    return new SilenceWatchdog(limits, () => {
      if (!silent()) return false;
      this.#exchange.fail("silent");
      return true;
    });
  }

  #createExchange(): Exchange {
    const { context, call, caller, progress } = this.#request;
    const { clock, grantClient: granter, headerNames: names } = context;
    const { ask, server, channel } = this.#target;
    return new Exchange({
      names,
      request: call.requestId,
      channel,
      answered: ({ headers }) => {
        const limit = headers[names.serverLimit.toLowerCase()];
        granter.limits.observe(incarnationOf(server), limit, this.#sentAt);
      },
      first: () => {
        progress.recordFirstPart(clock());
        granter.recordResponseStart(ask, clock() - this.#sentAt);
      },
      sink: {
        begin: (head) => caller.startStream(head),
        events: (events, lastId) => {
          progress.recordEvents(lastId, clock());
          this.#watchdog?.reset();
          caller.sendEvents(events);
        },
      },
    });
  }
}

function runEndOf(end: ExchangeResult): RunOutcome {
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
