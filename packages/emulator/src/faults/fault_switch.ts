/** The faults in force in one emulated server. @module */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as v from "valibot";
import { faultsSchema } from "./faults.ts";
import type { Faults, FaultsInput } from "./faults.ts";

/** Holds the switches and draws the errors from a seeded generator. */
export class FaultSwitch {
  #faults: Faults = v.parse(faultsSchema, {});
  readonly #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  get faults(): Faults {
    return this.#faults;
  }

  /** Replaces the whole set. Throws when it doesn't fit the schema. */
  set(faults: FaultsInput): void {
    this.#faults = v.parse(faultsSchema, faults);
  }

  /** Status that this request is to be failed with, if any. */
  errorStatus(route: string): number | undefined {
    const found = this.#faults.errorRates.find((rate) => rate.route === route);
    if (found === undefined || uniformFloat64(this.#random) >= found.rate) {
      return undefined;
    }
    return found.status;
  }

  crashes(marker: string | undefined): boolean {
    return marker !== undefined && this.#faults.crashMarkers.includes(marker);
  }

  crashesMidAnswer(marker: string | undefined): boolean {
    return marker !== undefined &&
      this.#faults.crashMidAnswerMarkers.includes(marker);
  }
}
