/** The active faults of one emulated backend server. @module */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as v from "valibot";
import { faultsSchema } from "./faults.ts";
import type { Faults, FaultsInput } from "./faults.ts";

/** Holds the active faults and draws errors with a seeded random generator. */
export class FaultInjector {
  #faults: Faults = v.parse(faultsSchema, {});
  readonly #random;
  #pausedUntil = 0;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  get faults(): Faults {
    return this.#faults;
  }

  /** Replaces all faults. Throws if they do not match the schema. */
  setFaults(faults: FaultsInput): void {
    this.#faults = v.parse(faultsSchema, faults);
    this.#pausedUntil = performance.now() + this.#faults.pause;
  }

  /** Instant of the monotonic clock until which no tokens are generated. */
  get pausedUntil(): number {
    return this.#pausedUntil;
  }

  /** Draws whether this request fails; returns the error status if so. */
  drawErrorStatus(route: string): number | undefined {
    const errorRate = this.#faults.errorRates.find((rate) =>
      rate.route === route
    );
    if (
      errorRate === undefined || uniformFloat64(this.#random) >= errorRate.rate
    ) {
      return undefined;
    }
    return errorRate.status;
  }

  shouldCrash(marker: string | undefined): boolean {
    return marker !== undefined && this.#faults.crashMarkers.includes(marker);
  }

  /** `messages`: texts of a prompt's messages, in order. */
  shouldCrashAtFirstToken(messages: readonly string[]): boolean {
    return messages.slice(0, -1)
      .some((message) => this.#faults.crashMessages.includes(message));
  }

  shouldCrashMidResponse(marker: string | undefined): boolean {
    return marker !== undefined &&
      this.#faults.crashMidAnswerMarkers.includes(marker);
  }
}
