/**
 * HTTP server of an emulated platform service. It counts calls, and carries
 * them out unless a fault prevents it. The control routes `PUT /faults`, `GET
 * /faults` and `GET /counts` are not affected by faults.
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import type { Polka } from "polka";
import * as v from "valibot";
import {
  handleCall,
  jsonResponse,
  parseJson,
  sendResponse,
} from "./service_calls.ts";
import type {
  CallHandler,
  RoutedRequest,
  ServiceCall,
  ServiceResponse,
} from "./service_calls.ts";
import { CallCounter } from "./call_counter.ts";
import type { CallCounts } from "./call_counter.ts";
import type { PlatformFaults } from "./platform_faults.ts";

/** Address that an emulated service listens on; port 0 selects a free port. */
export type StartOptions = { port?: number; host?: string };

/** A started platform service. */
export type StartedService = { url: string; close: () => Promise<void> };

type RouteHandler = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void>;
type Method = "get" | "put" | "post" | "delete";

/**
 * Common server of the platform services; `ServiceFaults` may add further
 * faults.
 */
export class FaultInjectingServer<ServiceFaults extends PlatformFaults> {
  faults: ServiceFaults;
  readonly #schema: v.GenericSchema<unknown, ServiceFaults>;
  readonly #counter = new CallCounter();
  readonly #application: Polka = polka();
  readonly #commonHeaders: () => Record<string, string>;

  /** `commonHeaders`: headers of all responses of the service. */
  constructor(
    schema: v.GenericSchema<unknown, ServiceFaults>,
    commonHeaders: () => Record<string, string> = () => ({}),
  ) {
    this.#schema = schema;
    this.#commonHeaders = commonHeaders;
    this.faults = v.parse(schema, {});
    this.#addControlRoute("put", "/faults", (call) => this.#setFaults(call));
    this.#addControlRoute(
      "get",
      "/faults",
      () => jsonResponse(200, this.faults),
    );
    this.#addControlRoute(
      "get",
      "/counts",
      () => jsonResponse(200, this.counts()),
    );
  }

  counts(): CallCounts {
    return this.#counter.counts(performance.now());
  }

  /** Adds a route of the service, which is subject to faults. */
  addServiceRoute(method: Method, path: string, handler: CallHandler): void {
    this.#addRoute(method, path, async (request, response) => {
      const kind = method === "get" ? "read" : "write";
      this.#counter.recordCall(kind, performance.now());
      if (await this.#applyDelayAndOutage(request, response)) {
        return;
      }
      const handled = await handleCall(request, handler);
      const headers = { ...handled.headers, ...this.#commonHeaders() };
      const serviceResponse = { ...handled, headers };
      if (
        kind === "write" && serviceResponse.status < 300 &&
        this.#takeLostWriteResponse()
      ) {
        request.socket.destroy();
        return;
      }
      sendResponse(response, serviceResponse);
    });
  }

  /** Adds a route for tests to control the service; not subject to faults. */
  addControlRoute(method: Method, path: string, handler: CallHandler): void {
    this.#addControlRoute(method, path, handler);
  }

  async listen(options: StartOptions): Promise<StartedService> {
    const host = options.host ?? "127.0.0.1";
    await new Promise<void>((resolve, reject) => {
      this.#application.listen(options.port ?? 0, host, resolve);
      this.#server().once("error", reject);
    });
    const { port } = this.#server().address() as AddressInfo;
    return { url: `http://${host}:${port}`, close: () => this.#close() };
  }

  #server(): Server {
    return this.#application.server as Server;
  }

  #close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server().close(() => resolve());
      this.#server().closeAllConnections();
    });
  }

  #addControlRoute(method: Method, path: string, handler: CallHandler): void {
    this.#addRoute(method, path, async (request, response) => {
      sendResponse(response, await handleCall(request, handler));
    });
  }

  /**
   * An error, such as a caller that disconnects while it sends the body or a
   * path with invalid percent-encoding, closes the connection of that call
   * only.
   */
  #addRoute(method: Method, path: string, routeHandler: RouteHandler): void {
    this.#application[method](path, (request, response) => {
      routeHandler(request, response).catch(() => request.socket.destroy());
    });
  }

  #setFaults(call: ServiceCall): ServiceResponse {
    const faults = v.safeParse(this.#schema, parseJson(call.body));
    if (!faults.success) {
      return jsonResponse(400, { problem: faults.issues[0].message });
    }
    this.faults = faults.output;
    return jsonResponse(200, this.faults);
  }

  /** Delays the call; returns true if an outage prevents its execution. */
  async #applyDelayAndOutage(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    if (this.faults.delay > 0) {
      await sleep(this.faults.delay, undefined, { ref: false });
    }
    switch (this.faults.outage) {
      case "none":
        return false;
      case "refuse":
        request.resume();
        sendResponse(response, jsonResponse(503, { problem: "outage" }));
        return true;
      case "reset":
        request.socket.destroy();
        return true;
      case "hang":
        return true;
    }
  }

  /** Whether this write's response is to be lost; uses up one lost response. */
  #takeLostWriteResponse(): boolean {
    if (this.faults.lostWriteAnswers < 1) {
      return false;
    }
    this.faults.lostWriteAnswers -= 1;
    return true;
  }
}
