/**
 * HTTP client of the key-value service; see docs/platform-protocol.md.
 * @module
 */
import { Result } from "true-myth/result";
import * as v from "valibot";
import { HttpClient } from "./http_client.ts";
import type {
  HttpCall,
  HttpResponse,
  HttpServiceOptions,
} from "./http_client.ts";
import { KeyValueStore, MAXIMUM_VALUE_BYTES } from "./key_value_store.ts";
import type {
  KeyValueEntry,
  SwapOptions,
  SwapOutcome,
  WatchOptions,
  WatchOutcome,
} from "./key_value_store.ts";
import type { PlatformError } from "./platform_error.ts";

const leaseSchema = v.object({ lease: v.string() });

/** Create one per process, and close it at the end. */
export class HttpKeyValueStore extends KeyValueStore {
  #client: HttpClient;

  constructor(options: HttpServiceOptions) {
    super();
    this.#client = new HttpClient(options);
  }

  override async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    const call: HttpCall = { step: "get", method: "GET", path: keyPath(key) };
    const response = await this.#client.call(call);
    return response.andThen((response) => this.#entryIfFound(call, response));
  }

  override async watch(
    options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>> {
    const query = `?after=${options.after}&wait=${Math.round(options.wait)}`;
    const call: HttpCall = {
      step: "watch",
      method: "GET",
      path: keyPath(options.key) + query,
      wait: options.wait,
    };
    const response = await this.#client.call(call);
    return response.andThen((response): Result<WatchOutcome, PlatformError> =>
      response.status === 304
        ? Result.ok({ changed: false })
        : this.#entryIfFound(call, response).map((entry) => ({
          changed: true,
          entry,
        }))
    );
  }

  override async compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const call = swapCall(options);
    const size = Buffer.byteLength(options.value);
    if (size > MAXIMUM_VALUE_BYTES) {
      const detail =
        `value of ${size} bytes, at most ${MAXIMUM_VALUE_BYTES} are allowed`;
      return Result.err(
        this.#client.createError(call, "too_large", detail, "no"),
      );
    }
    const response = await this.#client.call(call);
    return response.andThen((response) => this.#swapOutcome(call, response));
  }

  override async grantLease(
    duration: number,
  ): Promise<Result<string, PlatformError>> {
    const call: HttpCall = {
      step: "grant lease",
      method: "POST",
      path: "/leases",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ duration }),
    };
    const response = await this.#client.call(call);
    return response.andThen((response) => this.#lease(call, response));
  }

  override async renewLease(
    lease: string,
  ): Promise<Result<boolean, PlatformError>> {
    const call: HttpCall = {
      step: "renew lease",
      method: "PUT",
      path: leasePath(lease),
    };
    const response = await this.#client.call(call);
    return response.andThen((response): Result<boolean, PlatformError> => {
      if (response.status === 404) {
        return Result.ok(false);
      }
      return response.status === 200
        ? Result.ok(true)
        : Result.err(this.#client.unexpectedStatusError(call, response));
    });
  }

  override async revokeLease(
    lease: string,
  ): Promise<Result<void, PlatformError>> {
    const call: HttpCall = {
      step: "revoke lease",
      method: "DELETE",
      path: leasePath(lease),
    };
    const response = await this.#client.call(call);
    return response.andThen((response): Result<void, PlatformError> =>
      response.status === 204 || response.status === 404
        ? Result.ok(undefined)
        : Result.err(this.#client.unexpectedStatusError(call, response))
    );
  }

  /** Closes the connections; calls in progress fail as unreachable. */
  close(): Promise<void> {
    return this.#client.close();
  }

  #entryIfFound(
    call: HttpCall,
    response: HttpResponse,
  ): Result<KeyValueEntry | undefined, PlatformError> {
    if (response.status === 404) {
      return Result.ok(undefined);
    }
    return response.status === 200
      ? this.#entry(call, response)
      : Result.err(this.#client.unexpectedStatusError(call, response));
  }

  #swapOutcome(
    call: HttpCall,
    response: HttpResponse,
  ): Result<SwapOutcome, PlatformError> {
    if (response.status === 200) {
      return this.#revision(call, response)
        .map((revision) => ({ swapped: true, revision }));
    }
    if (response.status !== 412) {
      return Result.err(this.#client.unexpectedStatusError(call, response));
    }
    return this.#entry(call, response).map((entry) => ({
      swapped: false,
      current: entry.revision === 0 ? undefined : entry,
    }));
  }

  #entry(
    call: HttpCall,
    response: HttpResponse,
  ): Result<KeyValueEntry, PlatformError> {
    return this.#revision(call, response)
      .map((revision) => ({ value: response.text, revision }));
  }

  #revision(
    call: HttpCall,
    response: HttpResponse,
  ): Result<number, PlatformError> {
    const digits = /^"(\d{1,15})"$/.exec(response.etag)?.[1];
    if (digits === undefined) {
      const detail = `the response's ETag "${response.etag}" is not a revision`;
      return Result.err(
        this.#client.createError(call, "malformed", detail, "unknown"),
      );
    }
    return Result.ok(Number(digits));
  }

  #lease(
    call: HttpCall,
    response: HttpResponse,
  ): Result<string, PlatformError> {
    if (response.status !== 201) {
      return Result.err(this.#client.unexpectedStatusError(call, response));
    }
    try {
      return Result.ok(v.parse(leaseSchema, JSON.parse(response.text)).lease);
    } catch {
      const detail = "the response contains no lease";
      return Result.err(
        this.#client.createError(call, "malformed", detail, "unknown"),
      );
    }
  }
}

function swapCall(options: SwapOptions): HttpCall {
  const query = options.lease === undefined
    ? ""
    : `?lease=${encodeURIComponent(options.lease)}`;
  return {
    step: "compare-and-swap",
    method: "PUT",
    path: keyPath(options.key) + query,
    headers: {
      "if-match": `"${options.expected}"`,
      "content-type": "text/plain; charset=utf-8",
    },
    body: options.value,
  };
}

function keyPath(key: string): string {
  return `/keys/${encodeURIComponent(key)}`;
}

function leasePath(lease: string): string {
  return `/leases/${encodeURIComponent(lease)}`;
}
