/** What the servers of each version of a service may be sent. @module */
import type { ServerRecord } from "../discovery/mod.ts";
import { EstablishedVersion } from "./established_version.ts";

/** What a version may be sent. */
export type Standing =
  /** Requests without a bound. */
  | "established"
  /** A bounded share, since nothing is known of it. */
  | "exposed"
  /** Nothing while there are other versions: a roll-out has replaced it. */
  | "retired"
  /** Nothing: it was rolled back. */
  | "rejected";

/**
 * Milliseconds after which a version without an order gets requests without a
 * bound: the service has several versions for good. An order and the servers it
 * starts become known within seconds of each other.
 */
const UNORDERED_TIME = 30_000;

/** Standings of the versions of one service. */
export class VersionStandings {
  readonly #established = new EstablishedVersion();
  readonly #rejected = new Set<string>();
  readonly #retired = new Set<string>();
  /** Versions that are served beside the established one. */
  readonly #accepted = new Set<string>();
  /** When versions without an order were first seen. */
  #unorderedSince: ReadonlyMap<string, number> = new Map();
  #records: readonly ServerRecord[] = [];
  #slots: ReadonlyMap<Standing, number> = new Map();

  /** The established version; `undefined` before the first server. */
  get established(): string | undefined {
    return this.#established.version;
  }

  setServers(records: readonly ServerRecord[]): void {
    this.#records = records;
  }

  /** `target`: of the roll-out that runs, if any. */
  update(target: string | undefined, now: number): void {
    const rejected = this.#rejected;
    this.#established.update(this.#records, { target, rejected, now });
    const { established } = this;
    if (established !== undefined) this.#retired.delete(established);
    this.#accept(target, now);
    this.#updateSlots();
  }

  /** Accepts versions that have been there for long without an order. */
  #accept(target: string | undefined, now: number): void {
    const unordered = new Map<string, number>();
    for (const { version } of this.#records) {
      if (version === target || this.standingOf(version) !== "exposed") {
        continue;
      }
      const since = this.#unorderedSince.get(version) ?? now;
      unordered.set(version, since);
      if (now - since >= UNORDERED_TIME) this.#accepted.add(version);
    }
    this.#unorderedSince = unordered;
  }

  /** Begins a roll-out, whatever became of earlier ones to this version. */
  expose(version: string): void {
    this.#rejected.delete(version);
    this.#retired.delete(version);
    this.#accepted.delete(version);
    this.#updateSlots();
  }

  /** Records that a roll-out to this version was rolled back. */
  reject(version: string): void {
    const isEstablished = version === this.established &&
      this.#established.isCertain;
    if (!isEstablished) this.#rejected.add(version);
    this.#updateSlots();
  }

  /** Records that a roll-out to this version has succeeded. */
  establish(version: string): void {
    const previous = this.established;
    if (previous !== undefined) this.#retired.add(previous);
    for (const accepted of this.#accepted) this.#retired.add(accepted);
    this.#accepted.clear();
    this.#rejected.delete(version);
    this.#retired.delete(version);
    this.#established.establish(version);
    this.#updateSlots();
  }

  standingOf(version: string): Standing {
    if (this.#rejected.has(version)) return "rejected";
    if (version === this.established || this.#accepted.has(version)) {
      return "established";
    }
    return this.#retired.has(version) ? "retired" : "exposed";
  }

  /** Whether any server has this standing. */
  has(standing: Standing): boolean {
    return this.#slots.has(standing);
  }

  /** Whether all servers may be sent requests without a bound. */
  get areAllEstablished(): boolean {
    return this.#slots.size === 0 ||
      this.#slots.size === 1 && this.#slots.has("established");
  }

  /** Slots of all servers with this standing. */
  slots(standing: Standing): number {
    return this.#slots.get(standing) ?? 0;
  }

  #updateSlots(): void {
    const slots = new Map<Standing, number>();
    for (const record of this.#records) {
      const standing = this.standingOf(record.version);
      slots.set(standing, (slots.get(standing) ?? 0) + record.slots);
    }
    this.#slots = slots;
  }
}
