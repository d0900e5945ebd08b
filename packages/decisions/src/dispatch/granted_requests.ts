/** Granted requests of a service by id, and which fingerprints run. @module */
import { fingerprintsOf } from "./grant_request.ts";
import type { GrantedRequest } from "./server_pool.ts";

export class GrantedRequests {
  readonly #byId = new Map<string, GrantedRequest>();
  /** Number of running requests by fingerprint. */
  readonly #fingerprints = new Map<string, number>();

  get size(): number {
    return this.#byId.size;
  }

  get(id: string): GrantedRequest | undefined {
    return this.#byId.get(id);
  }

  has(id: string): boolean {
    return this.#byId.has(id);
  }

  add(granted: GrantedRequest): void {
    this.#byId.set(granted.request.id, granted);
    for (const fingerprint of fingerprintsOf(granted.request)) {
      const count = this.#fingerprints.get(fingerprint) ?? 0;
      this.#fingerprints.set(fingerprint, count + 1);
    }
  }

  remove(id: string): void {
    const granted = this.#byId.get(id);
    if (granted === undefined) return;
    this.#byId.delete(id);
    for (const fingerprint of fingerprintsOf(granted.request)) {
      const count = this.#fingerprints.get(fingerprint) ?? 0;
      if (count > 1) this.#fingerprints.set(fingerprint, count - 1);
      else this.#fingerprints.delete(fingerprint);
    }
  }

  removeEntry(entry: string): void {
    for (const [id, { request }] of this.#byId) {
      if (request.entry === entry) this.remove(id);
    }
  }

  /** Whether a request with any of these fingerprints is running. */
  isRunning(fingerprints: readonly string[]): boolean {
    return fingerprints.some((fingerprint) =>
      this.#fingerprints.has(fingerprint)
    );
  }
}
