/** HTTP client of the instance list; see docs/platform-protocol.md. @module */
import { Result } from "true-myth/result";
import * as v from "valibot";
import { HttpClient } from "./http_client.ts";
import type { HttpCall, HttpServiceOptions } from "./http_client.ts";
import { InstanceList, instanceSchema } from "./instance_list.ts";
import type { Instance } from "./instance_list.ts";
import type { PlatformError } from "./platform_error.ts";

const listSchema = v.object({ instances: v.array(instanceSchema) });

/** Create one per process, and close it at the end. */
export class HttpInstanceList extends InstanceList {
  #client: HttpClient;

  constructor(options: HttpServiceOptions) {
    super();
    this.#client = new HttpClient(options);
  }

  override async list(): Promise<Result<Instance[], PlatformError>> {
    const call: HttpCall = {
      step: "list instances",
      method: "GET",
      path: "/instances",
    };
    const response = await this.#client.call(call);
    return response.andThen((response): Result<Instance[], PlatformError> => {
      if (response.status !== 200) {
        return Result.err(this.#client.unexpectedStatusError(call, response));
      }
      const instances = parseList(response.text);
      return instances === undefined
        ? Result.err(
          this.#client.createError(
            call,
            "malformed",
            "the response is not a list of instances",
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

  /** Closes the connections; calls in progress fail as unreachable. */
  close(): Promise<void> {
    return this.#client.close();
  }

  async #write(call: HttpCall): Promise<Result<void, PlatformError>> {
    const response = await this.#client.call(call);
    return response.andThen((response): Result<void, PlatformError> =>
      response.status === 204
        ? Result.ok(undefined)
        : Result.err(this.#client.unexpectedStatusError(call, response))
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
