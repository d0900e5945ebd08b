/** Requests the status of processes over HTTP. @module */
import { rolloutStatusesSchema, statusSchema } from "@sycamorepulley/store";
import type { Instance, RolloutStatuses, Status } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { Agent, request } from "undici";
import * as v from "valibot";

/** Timeout for connecting, and for the whole request, in milliseconds. */
const REQUEST_TIMEOUT = 2000;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** The status of a process, or why there is none. */
export type StatusResult = Result<Status, string>;

/** The roll-outs that a gateway knows, or why there is no answer. */
export type RolloutsResult = Result<RolloutStatuses, string>;

/** Provides the status of processes. */
export abstract class StatusSource {
  abstract fetchStatus(instance: Instance): Promise<StatusResult>;

  /** `gateway`: host and port at which a gateway serves its metrics. */
  abstract fetchRollouts(gateway: string): Promise<RolloutsResult>;
}

/** Sends requests to the ports of processes for operators. */
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
    const url = `http://${host}:${instance.statusPort}/status`;
    return await this.#read(url, statusSchema);
  }

  override async fetchRollouts(gateway: string): Promise<RolloutsResult> {
    return await this.#read(
      `http://${gateway}/rollouts`,
      rolloutStatusesSchema,
    );
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #read<Output>(
    url: string,
    schema: v.GenericSchema<unknown, Output>,
  ): Promise<Result<Output, string>> {
    try {
      return await this.#request(url, schema);
    } catch (error) {
      return Result.err((error as Error).message || "no answer");
    }
  }

  async #request<Output>(
    url: string,
    schema: v.GenericSchema<unknown, Output>,
  ): Promise<Result<Output, string>> {
    const response = await request(url, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      return Result.err(`status ${response.statusCode}`);
    }
    const status = v.safeParse(schema, JSON.parse(text));
    return status.success
      ? Result.ok(status.output)
      : Result.err(`malformed status: ${status.issues[0].message}`);
  }
}
