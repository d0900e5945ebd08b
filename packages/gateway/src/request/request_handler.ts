/** Takes callers' requests in and runs one task for each. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { RequestParser } from "../front/parsed_request.ts";
import type { ParsedRequest } from "../front/parsed_request.ts";
import { CallerConnection } from "./caller_connection.ts";
import { errorStatus, sendErrorResponse } from "./error_response.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestTask } from "./request_task.ts";
import { resolveRequest } from "./resolve_request.ts";

/** Milliseconds after which a caller may try again while this entry starts. */
const DEFAULT_RETRY_AFTER = 500;

/** See the module. */
export class RequestHandler {
  readonly #context: RequestContext;
  readonly #reader: RequestParser;
  #active = 0;

  constructor(options: { context: RequestContext; parser: RequestParser }) {
    this.#context = options.context;
    this.#reader = options.parser;
  }

  /** Requests without a final answer. */
  get activeRequests(): number {
    return this.#active;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#active++;
    try {
      await this.#serve(request, response);
    } catch (error) {
      this.#context.log.write({
        event: "cut",
        request: "",
        server: "",
        reason: `internal error: ${String(error)}`,
        time: 0,
      });
      response.destroy();
    } finally {
      this.#active--;
    }
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, activeConfiguration: inForce, random, metrics, ready } =
      this.#context;
    const call = this.#reader.parse(request, clock());
    const caller = new CallerConnection(request, response);
    const limits = inForce()?.configuration.limits;
    const body = await caller.readBody(limits?.bodyBytes ?? Infinity);
    if (body.isErr) {
      if (body.error === "too_large") {
        response.setHeader("connection", "close");
        this.#refuse(response, call, "body_too_large");
      }
      return;
    }
    await ready;
    // A process that is short of processor time may read a request whose caller
    // has left, and the end of its connection only after the next poll. The first
    // turn ends this poll's callbacks, the second comes after the next poll.
    await nextTurn();
    await nextTurn();
    if (caller.disconnected) return;
    if (limits !== undefined && headSize(request) > limits.headerBytes) {
      this.#refuse(response, call, "head_too_large");
      return;
    }
    const resolved = resolveRequest(call, inForce(), random());
    if (resolved.isErr) {
      this.#refuse(response, call, resolved.error);
      return;
    }
    const { drainAdmission: closing } = this.#context;
    if (clock() > closing.latestStartTime(resolved.value)) {
      const left = resolved.value.deadline - clock();
      const retryAfter = Math.min(closing.retryAfter(clock()), left / 3);
      this.#refuse(response, call, "stopping", retryAfter);
      return;
    }
    const { service, route } = resolved.value;
    metrics.requests.inc({ service, route: route.name });
    const task = new RequestTask({
      context: this.#context,
      call,
      resolved: resolved.value,
      caller,
      body: body.value,
    });
    caller.onDisconnect(() => task.callerDisconnected());
    await task.run();
  }

  /** `retryAfter` in milliseconds. */
  #refuse(
    response: ServerResponse,
    call: ParsedRequest,
    reason: ErrorReason,
    retryAfter = DEFAULT_RETRY_AFTER,
  ): void {
    const {
      metrics,
      log,
      clock,
      isConfigurationCurrent: current,
      activeConfiguration: inForce,
    } = this.#context;
    // What is missing here may be in a newer version that can't be reached.
    const stale = !current() &&
      (reason === "no_route" || reason === "bad_credential");
    const reported = stale ? "no_configuration" : reason;
    const status = errorStatus(reported, false);
    sendErrorResponse(response, status, reported, retryAfter);
    metrics.refusals.inc({ service: "", reason: reported });
    log.write({
      event: "refused",
      request: call.requestId,
      status,
      reason: reported,
      waited: Math.round(clock() - call.arrivedAt),
      retryAfter: Math.round(retryAfter),
      version: inForce()?.configuration.version ?? 0,
    });
  }
}

/** Bytes of the request line and the headers, as they were sent. */
function headSize(request: IncomingMessage): number {
  const { method = "", url = "", rawHeaders } = request;
  // Each name and each value has two characters more: ": " or a line's end.
  return rawHeaders.reduce(
    (size, text) => size + text.length + 2,
    method.length + url.length,
  );
}
