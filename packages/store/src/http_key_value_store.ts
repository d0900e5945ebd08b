/**
 * HTTP client of the key-value service; see docs/platform-protocol.md.
 * @module
 */
import { Result } from "true-myth/result";
import * as v from "valibot";
import { EraTracker } from "./era_tracker.ts";
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

/** Header of each response, in lower case: the era of the service. */
const ERA_HEADER = "store-era";
const eraSchema = v.optional(
  v.pipe(v.string(), v.digits(), v.transform(Number)),
  "0",
);
const leaseSchema = v.object({ lease: v.string() });

/** A lease as the service names it, and the era in which it did. */
type ServiceLease = { id: string; era: number };

/** Create one per process, and close it at the end. */
export class HttpKeyValueStore extends KeyValueStore {
  #client: HttpClient;
  readonly #eras = new EraTracker();

  constructor(options: HttpServiceOptions) {
    super();
    this.#client = new HttpClient(options);
  }

  override get era(): number {
    return this.#eras.newest;
  }

  override onRestore(listener: () => void): void {
    this.#eras.onRestore(listener);
  }

  override async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    const call: HttpCall = { step: "get", method: "GET", path: keyPath(key) };
    const response = await this.#call(call);
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
    const response = await this.#call(call);
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
    const { lease: leaseName, era = this.era } = options;
    const lease = leaseName === undefined ? undefined : decodeLease(leaseName);
    const call = swapCall(options, lease);
    if (Math.min(era, lease?.era ?? era) < this.era) {
      return Result.err(this.#outdated(call, era, "no"));
    }
    const size = Buffer.byteLength(options.value);
    if (size > MAXIMUM_VALUE_BYTES) {
      const detail =
        `value of ${size} bytes, at most ${MAXIMUM_VALUE_BYTES} are allowed`;
      return Result.err(
        this.#client.createError(call, "too_large", detail, "no"),
      );
    }
    const response = await this.#call(call);
    if (response.isOk && this.era > era && era > 0) {
      return Result.err(this.#outdated(call, era, "unknown"));
    }
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
    const response = await this.#call(call);
    return response.andThen((response) => this.#lease(call, response))
      .map((id) => encodeLease({ id, era: this.era }));
  }

  override async renewLease(
    lease: string,
  ): Promise<Result<boolean, PlatformError>> {
    const { id, era } = decodeLease(lease);
    if (era < this.era) return Result.ok(false);
    const call: HttpCall = {
      step: "renew lease",
      method: "PUT",
      path: leasePath(id),
    };
    const response = await this.#call(call);
    return response.andThen((response): Result<boolean, PlatformError> => {
      if (response.status === 404) {
        return Result.ok(false);
      }
      return response.status === 200
        ? Result.ok(era === this.era)
        : Result.err(this.#client.unexpectedStatusError(call, response));
    });
  }

  override async revokeLease(
    lease: string,
  ): Promise<Result<void, PlatformError>> {
    const { id, era } = decodeLease(lease);
    // Its number may belong to another lease.
    if (era < this.era) return Result.ok(undefined);
    const call: HttpCall = {
      step: "revoke lease",
      method: "DELETE",
      path: leasePath(id),
    };
    const response = await this.#call(call);
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

  /** Makes a call, and rejects a response of an older era. */
  async #call(call: HttpCall): Promise<Result<HttpResponse, PlatformError>> {
    const response = await this.#client.call(call);
    if (response.isErr) return response;
    const era = v.safeParse(eraSchema, response.value.headers[ERA_HEADER]);
    if (!era.success) {
      const detail = `the header ${ERA_HEADER} is not a whole number`;
      return Result.err(
        this.#client.createError(call, "malformed", detail, "unknown"),
      );
    }
    this.#eras.record(era.output);
    return era.output < this.era
      ? Result.err(this.#outdated(call, era.output, "unknown"))
      : response;
  }

  #outdated(
    call: HttpCall,
    era: number,
    applied: "no" | "unknown",
  ): PlatformError {
    const detail = `era ${era} has ended, the service is in era ${this.era}`;
    return this.#client.createError(call, "outdated", detail, applied);
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

function swapCall(
  options: SwapOptions,
  lease: ServiceLease | undefined,
): HttpCall {
  const query = lease === undefined
    ? ""
    : `?lease=${encodeURIComponent(lease.id)}`;
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

function encodeLease({ id, era }: ServiceLease): string {
  return `${era}/${id}`;
}

function decodeLease(lease: string): ServiceLease {
  const separator = lease.indexOf("/");
  return {
    id: lease.slice(separator + 1),
    era: Number(lease.slice(0, separator)),
  };
}
