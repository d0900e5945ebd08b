/**
 * The sidecar's part in moves between versions. It keeps their records for
 * entries that connect while the key-value service is down, and stops its own
 * version temporarily on the first evidence that the version is bad.
 * @module
 */
import {
  effectiveOutcome,
  VersionFailureDetector,
} from "@sycamorepulley/decisions";
import { decodeStoredMove, encodeStoredMove } from "../moves/stored_move.ts";
import type { StoredMove } from "../moves/stored_move.ts";

/**
 * Milliseconds for which the version is stopped unless a record confirms it. By
 * then the move's driver has evidence from both versions; if both fail alike,
 * the new one is not the cause.
 */
const STOP_DURATION = 10_000;

/** Keeps the moves' records, and whether this sidecar's version is stopped. */
export class VersionGuard {
  readonly #version: string | undefined;
  readonly #records = new Map<string, StoredMove>();
  readonly #failureDetector = new VersionFailureDetector();
  #stoppedUntil = Number.NEGATIVE_INFINITY;

  constructor(version: string | undefined) {
    this.#version = version;
  }

  /** The records to send to an entry that has just connected. */
  get records(): string[] {
    return [...this.#records.values()].map(encodeStoredMove);
  }

  /** Stores a record, unless it has the same or a newer one. */
  receiveRecord(text: string): void {
    const stored = decodeStoredMove(text);
    if (!stored) return;
    const { move } = stored.record;
    const known = this.#records.get(move);
    if (known && known.revision >= stored.revision) return;
    this.#records.set(move, stored);
  }

  /**
   * Records a call that ended at the server; `now` is monotonic time,
   * `wallTime` wall-clock time, both in milliseconds.
   */
  recordCall(
    call: { route: string; failed: boolean },
    now: number,
    wallTime: number,
  ): void {
    if (!this.#isMoveRunning(wallTime)) return;
    this.#failureDetector.recordCall(call.route, call.failed);
    if (this.#failureDetector.failingRoute === undefined) return;
    this.#failureDetector.reset();
    this.#stoppedUntil = now + STOP_DURATION;
  }

  /** Whether the version at this sidecar accepts no new work at `now`. */
  isStopped(now: number): boolean {
    return now < this.#stoppedUntil;
  }

  #isMoveRunning(wallTime: number): boolean {
    return [...this.#records.values()].some(({ record }) =>
      record.to === this.#version &&
      effectiveOutcome(record, wallTime) === "running"
    );
  }
}
