/**
 * A sidecar's part in moves: it keeps their records for entries that come
 * while the key-value service is down, and holds its own version back on the
 * first evidence that it is bad.
 * @module
 */
import {
  effectiveOutcome,
  VersionFailureDetector,
} from "@sycamorepulley/decisions";
import { decodeStoredMove, encodeStoredMove } from "../moves/stored_move.ts";
import type { StoredMove } from "../moves/stored_move.ts";

/**
 * Milliseconds after which a hold that no record confirmed is released: the
 * driver has seen both versions by then, and if both fail alike the new one
 * is not to blame.
 */
const HOLD_DURATION = 10_000;

/** Records by move, and the hold on the version beside this sidecar. */
export class VersionGuard {
  readonly #version: string | undefined;
  readonly #records = new Map<string, StoredMove>();
  readonly #hold = new VersionFailureDetector();
  #heldUntil = Number.NEGATIVE_INFINITY;

  constructor(version: string | undefined) {
    this.#version = version;
  }

  /** The records to tell an entry that has just connected. */
  get records(): string[] {
    return [...this.#records.values()].map(encodeStoredMove);
  }

  /** Keeps a record unless a newer one is held. */
  offerRecord(text: string): void {
    const stored = decodeStoredMove(text);
    if (!stored) return;
    const { move } = stored.record;
    const known = this.#records.get(move);
    if (known && known.revision >= stored.revision) return;
    this.#records.set(move, stored);
  }

  /** A call ended at the server; `now` on the monotonic, `wall` on the other clock. */
  ended(
    call: { route: string; failed: boolean },
    now: number,
    wall: number,
  ): void {
    if (!this.#onTrial(wall)) return;
    this.#hold.recordCall(call.route, call.failed);
    if (this.#hold.failingRoute === undefined) return;
    this.#hold.reset();
    this.#heldUntil = now + HOLD_DURATION;
  }

  /** Whether the version beside this sidecar takes no new work now. */
  stopped(now: number): boolean {
    return now < this.#heldUntil;
  }

  #onTrial(wall: number): boolean {
    return [...this.#records.values()].some(({ record }) =>
      record.to === this.#version &&
      effectiveOutcome(record, wall) === "running"
    );
  }
}
