/** The instance list over HTTP; see docs/platform-protocol.md. @module */
import { Result } from "true-myth/result";
import * as v from "valibot";
import { HttpClient } from "./http_client.ts";
import type { HttpCall, HttpServiceOptions } from "./http_client.ts";
import { InstanceList, instanceSchema } from "./instance_list.ts";
import type { Instance } from "./instance_list.ts";
import type { PlatformError } from "./platform_error.ts";

const listSchema = v.object({ instances: v.array(instanceSchema) });

/** Calls an instance list; construct one per process and close it at the end. */
export class HttpInstanceList extends InstanceList {
  #caller: HttpClient;

  constructor(options: HttpServiceOptions) {
    super();
    this.#caller = new HttpClient(options);
  }

  override async list(): Promise<Result<Instance[], PlatformError>> {
    const call: HttpCall = {
      step: "list instances",
      method: "GET",
      path: "/instances",
    };
    const answer = await this.#caller.call(call);
    return answer.andThen((answer): Result<Instance[], PlatformError> => {
      if (answer.status !== 200) {
        return Result.err(this.#caller.unexpectedStatusError(call, answer));
      }
      const instances = parseList(answer.text);
      return instances === undefined
        ? Result.err(
          this.#caller.createError(
            call,
            "malformed",
            "no list of instances",
            "no",
          ),
        )
        : Result.ok(instances);
    });
  }

  override register(instance: Instance): Promise<Result<void, PlatformError>> {
    return this.#write({
      step: "register instance",
      method: "PUT",
      path: instancePath(instance.name),
      headers: { "content-type": "application/json" },
      body: JSON.stringify(instance),
    });
  }

  override deregister(name: string): Promise<Result<void, PlatformError>> {
    return this.#write({
      step: "deregister instance",
      method: "DELETE",
      path: instancePath(name),
    });
  }

  /** Drops the connections; calls under way fail as unreachable. */
  close(): Promise<void> {
    return this.#caller.close();
  }

  async #write(call: HttpCall): Promise<Result<void, PlatformError>> {
    const answer = await this.#caller.call(call);
    return answer.andThen((answer): Result<void, PlatformError> =>
      answer.status === 204
        ? Result.ok(undefined)
        : Result.err(this.#caller.unexpectedStatusError(call, answer))
    );
  }
}

function parseList(text: string): Instance[] | undefined {
  try {
    return v.parse(listSchema, JSON.parse(text)).instances;
  } catch {
    return undefined;
  }
}

function instancePath(name: string): string {
  return `/instances/${encodeURIComponent(name)}`;
}
