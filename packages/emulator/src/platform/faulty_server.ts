/**
 * An HTTP server of an emulated platform service: carries out calls unless a
 * fault says otherwise, and counts them. `PUT /faults`, `GET /faults` and
 * `GET /counts` steer it and are never at fault themselves.
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import type { Polka } from "polka";
import * as v from "valibot";
import { answerOf, json, parseJson, send } from "./answers.ts";
import type { Answer, Call, Handler, RoutedRequest } from "./answers.ts";
import { CallCounter } from "./call_counter.ts";
import type { CallCounts } from "./call_counter.ts";
import type { Faults } from "./faults.ts";

/** Where an emulated service listens. Port 0 picks a free one. */
export type StartOptions = { port?: number; host?: string };

/** A started service. */
export type StartedServer = { url: string; close: () => Promise<void> };

type CarryOut = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void>;
type Method = "get" | "put" | "post" | "delete";

/** Behaviour shared by the emulated services; `Kind` adds faults of their own. */
export class FaultyServer<Kind extends Faults> {
  faults: Kind;
  readonly #schema: v.GenericSchema<unknown, Kind>;
  readonly #counter = new CallCounter();
  readonly #application: Polka = polka();

  constructor(schema: v.GenericSchema<unknown, Kind>) {
    this.#schema = schema;
    this.faults = v.parse(schema, {});
    this.#steer("put", "/faults", (call) => this.#setFaults(call));
    this.#steer("get", "/faults", () => json(200, this.faults));
    this.#steer("get", "/counts", () => json(200, this.counts()));
  }

  counts(): CallCounts {
    return this.#counter.counts(performance.now());
  }

  /** Adds a call of the service, subject to faults. */
  serve(method: Method, path: string, handler: Handler): void {
    this.#route(method, path, async (request, response) => {
      const kind = method === "get" ? "read" : "write";
      this.#counter.count(kind, performance.now());
      if (await this.#outage(request, response)) {
        return;
      }
      const answer = await answerOf(request, handler);
      if (kind === "write" && answer.status < 300 && this.#loseAnswer()) {
        request.socket.destroy();
        return;
      }
      send(response, answer);
    });
  }

  /** Adds a call of the test that steers the service, never at fault. */
  steer(method: Method, path: string, handler: Handler): void {
    this.#steer(method, path, handler);
  }

  async listen(options: StartOptions): Promise<StartedServer> {
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

  #steer(method: Method, path: string, handler: Handler): void {
    this.#route(method, path, async (request, response) => {
      send(response, await answerOf(request, handler));
    });
  }

  /** A caller that leaves mid-body, or a misspelt path, ends its own call only. */
  #route(method: Method, path: string, carryOut: CarryOut): void {
    this.#application[method](path, (request, response) => {
      carryOut(request, response).catch(() => request.socket.destroy());
    });
  }

  #setFaults(call: Call): Answer {
    const faults = v.safeParse(this.#schema, parseJson(call.body));
    if (!faults.success) {
      return json(400, { problem: faults.issues[0].message });
    }
    this.faults = faults.output;
    return json(200, this.faults);
  }

  /** Delays the call; `true` when an outage has swallowed it. */
  async #outage(
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
        send(response, json(503, { problem: "outage" }));
        return true;
      case "reset":
        request.socket.destroy();
        return true;
      case "hang":
        return true;
    }
  }

  #loseAnswer(): boolean {
    if (this.faults.lostWriteAnswers < 1) {
      return false;
    }
    this.faults.lostWriteAnswers -= 1;
    return true;
  }
}
