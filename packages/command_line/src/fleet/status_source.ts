/** Requests the status of processes over HTTP. @module */
import { statusSchema } from "@sycamorepulley/store";
import type { Instance, Status } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { Agent, request } from "undici";
import * as v from "valibot";

/** Timeout for connecting, and for the whole request, in milliseconds. */
const REQUEST_TIMEOUT = 2000;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** The status of a process, or why there is none. */
export type StatusResult = Result<Status, string>;

/** Provides the status of processes. */
export abstract class StatusSource {
  abstract fetchStatus(instance: Instance): Promise<StatusResult>;
}

/** Sends `GET /status` to the status port in the instance list. */
export class HttpStatusSource extends StatusSource {
  #agent = new Agent({
    connections: 1,
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: { timeout: REQUEST_TIMEOUT },
  });

  override async fetchStatus(instance: Instance): Promise<StatusResult> {
    if (instance.statusPort === undefined) {
      return Result.err("no status port is listed");
    }
    const host = instance.host.includes(":")
      ? `[${instance.host}]`
      : instance.host;
    try {
      const url = `http://${host}:${instance.statusPort}/status`;
      return await this.#read(url);
    } catch (error) {
      return Result.err((error as Error).message || "no answer");
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #read(url: string): Promise<StatusResult> {
    const response = await request(url, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      return Result.err(`status ${response.statusCode}`);
    }
    const status = v.safeParse(statusSchema, JSON.parse(text));
    return status.success
      ? Result.ok(status.output)
      : Result.err(`malformed status: ${status.issues[0].message}`);
  }
}
