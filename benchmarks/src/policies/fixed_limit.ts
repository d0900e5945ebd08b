/** Ablation of the adaptive limit: a fixed number of sequences. @module */
import {
  ConcurrencyLimit,
  type Cost,
  type WaitingReservation,
} from "@sycamorepulley/decisions";

/** Admits up to a fixed number of requests at a time. */
export class FixedLimit extends ConcurrencyLimit {
  readonly #limit: number;
  readonly #running = new Set<string>();

  constructor(limit: number) {
    super();
    this.#limit = limit;
  }

  override get running(): number {
    return this.#running.size;
  }

  override get limit(): number {
    return this.#limit;
  }

  override admits(waiting: WaitingReservation): boolean {
    if (waiting.suspect) return this.isIdle;
    return this.running < this.#limit;
  }

  override recordStart(id: string, _cost: Cost): void {
    this.#running.add(id);
  }

  override recordFirstToken(): void {}

  override recordTokens(): void {}

  override recordEnd(id: string): void {
    this.#running.delete(id);
  }
}
