/** Validates callers' requests and runs a task for each. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { closeBeforeRest, readBody } from "@sycamorepulley/receiving";
import type { HeldBody } from "@sycamorepulley/receiving";
import type { RequestParser } from "../front/parsed_request.ts";
import type { ParsedRequest } from "../front/parsed_request.ts";
import type { CallerLimits } from "../state/gateway_configuration.ts";
import { CallerConnection } from "./caller_connection.ts";
import { errorStatus, sendErrorResponse } from "./error_response.ts";
import type { ErrorReason } from "./error_response.ts";
import type { RequestContext } from "./request_context.ts";
import { RequestTask } from "./request_task.ts";
import { resolveRequest } from "./resolve_request.ts";
import type { ResolvedRequest } from "./resolve_request.ts";

/**
 * Milliseconds a refused caller is asked to wait unless stated otherwise;
 * enough for an entry that is starting.
 */
const DEFAULT_RETRY_AFTER = 500;

/** Largest body in bytes that is read while no configuration states a limit. */
const BODY_LIMIT_WITHOUT_CONFIGURATION = 16 * 1024 * 1024;

/** Maximum fraction of the caller's time that it is asked to wait. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/** HTTP status of a response to a request that met a fault of the gateway. */
const INTERNAL_ERROR = 500;

/** Handles the requests of callers from arrival to final response. */
export class RequestHandler {
  readonly #context: RequestContext;
  readonly #parser: RequestParser;
  readonly #tasks = new Set<RequestTask>();
  #activeRequests = 0;

  constructor(options: { context: RequestContext; parser: RequestParser }) {
    this.#context = options.context;
    this.#parser = options.parser;
  }

  /** Number of requests whose final response was not handed over whole. */
  get activeRequests(): number {
    return this.#activeRequests;
  }

  /** Refuses requests that were not sent and can't end before the process. */
  refuseLate(now: number): void {
    for (const task of this.#tasks) task.refuseIfLate(now);
  }

  /** Ends all requests with an error, as this process ends. */
  endAllAtStop(): void {
    for (const task of this.#tasks) task.endAtStop();
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#activeRequests++;
    try {
      await this.#handle(request, response);
    } catch (error) {
      this.#context.log.write({
        event: "cut",
        request: "",
        server: "",
        reason: `internal error: ${String(error)}`,
        time: 0,
      });
      if (response.headersSent) response.destroy();
      else sendErrorResponse(response, INTERNAL_ERROR, "internal");
    } finally {
      await handedOver(response);
      this.#activeRequests--;
    }
  }

  /** Refuses a request whose headers don't fit into the heap. */
  refuseHead(request: IncomingMessage, response: ServerResponse): void {
    this.#context.metrics.refusedHeads.inc();
    closeBeforeRest(request, response);
    request.resume();
    const parsed = this.#parser.parse(request, this.#context.clock());
    this.#refuseForMemory(response, parsed);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const held = this.#context.memory.openBody();
    try {
      await this.#handleHeld(request, response, held);
    } finally {
      held.release();
    }
  }

  /** `held` counts the body for as long as the request may need it. */
  async #handleHeld(
    request: IncomingMessage,
    response: ServerResponse,
    held: HeldBody,
  ): Promise<void> {
    const { clock, activeConfiguration, random, metrics, ready } =
      this.#context;
    const parsed = this.#parser.parse(request, clock());
    const caller = new CallerConnection(request, response);
    const maxBytes = activeConfiguration()?.configuration.limits.bodyBytes ??
      BODY_LIMIT_WITHOUT_CONFIGURATION;
    const body = await readBody(request, { maxBytes, held });
    if (body.isErr) {
      if (body.error === "cut") {
        metrics.abandonedRequests.inc();
        return;
      }
      closeBeforeRest(request, response);
      if (body.error === "memory") this.#refuseForMemory(response, parsed);
      else this.#refuse(response, parsed, "body_too_large");
      return;
    }
    await ready;
    // A process that is short of processor time may read a request whose caller
    // has already disconnected, and see the end of the connection only after
    // the next poll of the event loop. The first turn ends the callbacks of
    // this poll; the second one comes after the next poll.
    await nextTurn();
    await nextTurn();
    if (caller.disconnected) {
      metrics.abandonedRequests.inc();
      return;
    }
    const tooLarge = exceededLimit(
      request,
      body.value,
      activeConfiguration()?.configuration.limits,
    );
    if (tooLarge !== undefined) {
      this.#refuse(response, parsed, tooLarge);
      return;
    }
    const resolved = resolveRequest(parsed, activeConfiguration(), random());
    if (resolved.isErr) {
      this.#refuse(response, parsed, resolved.error);
      return;
    }
    const { drainAdmission } = this.#context;
    if (!drainAdmission.accepts(resolved.value, clock())) {
      const remaining = resolved.value.deadline - clock();
      const retryAfter = Math.min(
        drainAdmission.retryAfter(clock()),
        remaining * MAX_RETRY_AFTER_FRACTION,
      );
      this.#refuse(response, parsed, "stopping", retryAfter);
      return;
    }
    this.#boundMemory(caller, parsed, resolved.value);
    const { service, route } = resolved.value;
    metrics.requests.inc({ service, route: route.name });
    const task = new RequestTask({
      context: this.#context,
      parsed,
      resolved: resolved.value,
      caller,
      body: body.value,
    });
    caller.onDisconnect(() => task.handleDisconnect());
    this.#tasks.add(task);
    try {
      await task.run();
    } finally {
      this.#tasks.delete(task);
    }
  }

  /** Bounds what the response may hold if the memory of the process is known. */
  #boundMemory(
    caller: CallerConnection,
    { requestId, arrivedAt }: ParsedRequest,
    { service, deadline }: ResolvedRequest,
  ): void {
    const { log, clock, memory } = this.#context;
    if (!memory.boundsResponses) return;
    caller.setBounds({
      memory,
      service,
      totalTime: Math.round(deadline - arrivedAt),
      onStalled: () =>
        log.write({
          event: "cut",
          request: requestId,
          server: "",
          reason: "the caller takes nothing of the complete response",
          time: Math.round(clock() - arrivedAt),
        }),
    });
  }

  #refuseForMemory(response: ServerResponse, parsed: ParsedRequest): void {
    const remaining = parsed.remainingTime ?? Infinity;
    const retryAfter = Math.min(
      this.#context.memory.retryAfter(),
      remaining * MAX_RETRY_AFTER_FRACTION,
    );
    this.#refuse(response, parsed, "memory", retryAfter);
  }

  /** `retryAfter` in milliseconds. */
  #refuse(
    response: ServerResponse,
    parsed: ParsedRequest,
    reason: ErrorReason,
    retryAfter = DEFAULT_RETRY_AFTER,
  ): void {
    const {
      metrics,
      log,
      clock,
      isConfigurationCurrent,
      activeConfiguration,
    } = this.#context;
    // The missing route or credential may be in a newer version of the
    // configuration that this entry could not read.
    const stale = !isConfigurationCurrent() &&
      (reason === "no_route" || reason === "bad_credential");
    const reported = stale ? "no_configuration" : reason;
    const status = errorStatus(reported, false);
    sendErrorResponse(response, status, reported, retryAfter);
    metrics.refusals.inc({ service: "", reason: reported });
    log.write({
      event: "refused",
      request: parsed.requestId,
      status,
      reason: reported,
      waited: Math.round(clock() - parsed.arrivedAt),
      retryAfter: Math.round(retryAfter),
      version: activeConfiguration()?.configuration.version ?? 0,
    });
  }
}

/**
 * Resolves once the operating system has taken over the whole response, or its
 * connection is closed. A caller that reads slowly leaves bytes of a response in
 * this process, and they are lost when it ends.
 */
function handedOver(response: ServerResponse): Promise<void> {
  const { socket } = response.req;
  if (response.writableFinished || socket.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      response.off("finish", finish);
      socket.off("close", finish);
      resolve();
    };
    response.once("finish", finish);
    // A pipelined response that was not sent yet gets no event of its own.
    socket.once("close", finish);
  });
}

/**
 * Which limit a request exceeds. Its body may have been read before the entry
 * knew a configuration.
 */
function exceededLimit(
  request: IncomingMessage,
  body: Buffer | undefined,
  limits: CallerLimits | undefined,
): "head_too_large" | "body_too_large" | undefined {
  if (limits === undefined) return undefined;
  if (headSize(request) > limits.headerBytes) return "head_too_large";
  const bodySize = body?.length ?? 0;
  return bodySize > limits.bodyBytes ? "body_too_large" : undefined;
}

/** Size in bytes of the request line and the headers, as sent. */
function headSize(request: IncomingMessage): number {
  const { method = "", url = "", rawHeaders } = request;
  // Each name is followed by ": " and each value by CRLF: two characters each.
  return rawHeaders.reduce(
    (size, text) => size + text.length + 2,
    method.length + url.length,
  );
}
