/** The key-value service over HTTP; see docs/platform-protocol.md. @module */
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

/** Calls a key-value service; construct one per process and close it at the end. */
export class HttpKeyValueStore extends KeyValueStore {
  #caller: HttpClient;

  constructor(options: HttpServiceOptions) {
    super();
    this.#caller = new HttpClient(options);
  }

  override async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    const call: HttpCall = { step: "get", method: "GET", path: keyPath(key) };
    const answer = await this.#caller.call(call);
    return answer.andThen((answer) => this.#found(call, answer));
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
    const answer = await this.#caller.call(call);
    return answer.andThen((answer): Result<WatchOutcome, PlatformError> =>
      answer.status === 304
        ? Result.ok({ changed: false })
        : this.#found(call, answer).map((entry) => ({ changed: true, entry }))
    );
  }

  override async compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const call = swapCall(options);
    const size = Buffer.byteLength(options.value);
    if (size > MAXIMUM_VALUE_BYTES) {
      const detail =
        `${size} bytes, at most ${MAXIMUM_VALUE_BYTES} fit a value`;
      return Result.err(
        this.#caller.createError(call, "too_large", detail, "no"),
      );
    }
    const answer = await this.#caller.call(call);
    return answer.andThen((answer) => this.#swapOutcome(call, answer));
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
    const answer = await this.#caller.call(call);
    return answer.andThen((answer) => this.#leaseOf(call, answer));
  }

  override async renewLease(
    lease: string,
  ): Promise<Result<boolean, PlatformError>> {
    const call: HttpCall = {
      step: "renew lease",
      method: "PUT",
      path: leasePath(lease),
    };
    const answer = await this.#caller.call(call);
    return answer.andThen((answer): Result<boolean, PlatformError> => {
      if (answer.status === 404) {
        return Result.ok(false);
      }
      return answer.status === 200
        ? Result.ok(true)
        : Result.err(this.#caller.unexpectedStatusError(call, answer));
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
    const answer = await this.#caller.call(call);
    return answer.andThen((answer): Result<void, PlatformError> =>
      answer.status === 204 || answer.status === 404
        ? Result.ok(undefined)
        : Result.err(this.#caller.unexpectedStatusError(call, answer))
    );
  }

  /** Drops the connections; calls under way fail as unreachable. */
  close(): Promise<void> {
    return this.#caller.close();
  }

  #found(
    call: HttpCall,
    answer: HttpResponse,
  ): Result<KeyValueEntry | undefined, PlatformError> {
    if (answer.status === 404) {
      return Result.ok(undefined);
    }
    return answer.status === 200
      ? this.#entry(call, answer)
      : Result.err(this.#caller.unexpectedStatusError(call, answer));
  }

  #swapOutcome(
    call: HttpCall,
    answer: HttpResponse,
  ): Result<SwapOutcome, PlatformError> {
    if (answer.status === 200) {
      return this.#revision(call, answer)
        .map((revision) => ({ swapped: true, revision }));
    }
    if (answer.status !== 412) {
      return Result.err(this.#caller.unexpectedStatusError(call, answer));
    }
    return this.#entry(call, answer).map((entry) => ({
      swapped: false,
      current: entry.revision === 0 ? undefined : entry,
    }));
  }

  #entry(
    call: HttpCall,
    answer: HttpResponse,
  ): Result<KeyValueEntry, PlatformError> {
    return this.#revision(call, answer)
      .map((revision) => ({ value: answer.text, revision }));
  }

  #revision(
    call: HttpCall,
    answer: HttpResponse,
  ): Result<number, PlatformError> {
    const digits = /^"(\d{1,15})"$/.exec(answer.etag)?.[1];
    if (digits === undefined) {
      const detail = `the answer's ETag "${answer.etag}" is no revision`;
      return Result.err(
        this.#caller.createError(call, "malformed", detail, "unknown"),
      );
    }
    return Result.ok(Number(digits));
  }

  #leaseOf(
    call: HttpCall,
    answer: HttpResponse,
  ): Result<string, PlatformError> {
    if (answer.status !== 201) {
      return Result.err(this.#caller.unexpectedStatusError(call, answer));
    }
    try {
      return Result.ok(v.parse(leaseSchema, JSON.parse(answer.text)).lease);
    } catch {
      const detail = "the answer names no lease";
      return Result.err(
        this.#caller.createError(call, "malformed", detail, "unknown"),
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
