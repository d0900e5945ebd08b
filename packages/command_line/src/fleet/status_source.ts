/** Asks processes for their status over HTTP. @module */
import { statusSchema } from "@sycamorepulley/store";
import type { Instance, Status } from "@sycamorepulley/store";
import { Result } from "true-myth/result";
import { Agent, request } from "undici";
import * as v from "valibot";

const TIMEOUT = 2000;
const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

/** One process's answer, or why there is none. */
export type StatusAnswer = Result<Status, string>;

/** Where statuses come from. */
export abstract class StatusSource {
  abstract ask(instance: Instance): Promise<StatusAnswer>;
}

/** `GET /status` on the port that the instance list names. */
export class HttpStatusSource extends StatusSource {
  #agent = new Agent({
    connections: 1,
    maxResponseSize: MAXIMUM_ANSWER_BYTES,
    connect: { timeout: TIMEOUT },
  });

  override async ask(instance: Instance): Promise<StatusAnswer> {
    if (instance.statusPort === undefined) {
      return Result.err("it lists no status port");
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

  async #read(url: string): Promise<StatusAnswer> {
    const answer = await request(url, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(TIMEOUT),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      return Result.err(`status ${answer.statusCode}`);
    }
    const status = v.safeParse(statusSchema, JSON.parse(text));
    return status.success
      ? Result.ok(status.output)
      : Result.err(`malformed status: ${status.issues[0].message}`);
  }
}
