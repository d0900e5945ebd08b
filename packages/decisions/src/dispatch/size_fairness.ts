/**
 * Keeps the largest requests of a kind from being starved while places are short.
 *
 * The order by value for time puts the largest answers of a kind last. While more
 * arrives than can be served, the end of that order is never reached. So each
 * size class is counted, and while one is served far less often than its kind, its
 * asks are ordered like those of the kind that are served.
 * @module
 */
import type { Cost } from "../queueing/mod.ts";
import { RecentQuantiles } from "../estimates/recent_quantiles.ts";
import { sizeOf } from "./response_value.ts";
import { nominalUse } from "./latency_ratio.ts";

/** The largest tenth of a kind, the fifth below it, and the rest. */
export type SizeClass = "largest" | "large" | "usual";

const LARGEST_QUANTILE = 0.9;
const LARGE_QUANTILE = 0.7;
/** Of the uses of granted asks: where the asks of an underserved class are ordered. */
const GRANTED_QUANTILE = 0.5;
/** A class is underserved below this part of the fraction that its kind is served. */
const LEAST_SHARE = 0.6;
/**
 * Asks of a kind in which its counts fade to a third: what was served before a
 * burst makes up for little of what is refused in it.
 */
const MEMORY = 300;
const FADING = Math.exp(-1 / MEMORY);
/** Asks of a kind before its fractions say anything. */
const LEAST_ASKED = 50;

/** The latest asks, and how many of them were granted. */
class ServedShare {
  #asked = 0;
  #granted = 0;

  get asked(): number {
    return this.#asked;
  }

  /** 1 while nothing was asked. */
  get fraction(): number {
    return this.#asked === 0 ? 1 : this.#granted / this.#asked;
  }

  countAsk(): void {
    this.#asked++;
  }

  countGrant(): void {
    this.#granted++;
  }

  fade(): void {
    this.#asked *= FADING;
    this.#granted *= FADING;
  }
}

/** One kind: the asks of one tier and route. */
class KindShares {
  readonly all = new ServedShare();
  readonly classes: Record<SizeClass, ServedShare> = {
    largest: new ServedShare(),
    large: new ServedShare(),
    usual: new ServedShare(),
  };
  readonly sizes = new RecentQuantiles();
  /** Milliseconds of places for the value of an answer, of granted asks. */
  readonly grantedUse = new RecentQuantiles();

  countAsk(size: number, sizeClass: SizeClass): void {
    this.sizes.add(size);
    this.all.fade();
    for (const share of Object.values(this.classes)) share.fade();
    this.all.countAsk();
    this.classes[sizeClass].countAsk();
  }

  /** True while a class is served far less often than the kind. */
  isUnderserved(sizeClass: SizeClass): boolean {
    if (this.all.asked < LEAST_ASKED) return false;
    const least = LEAST_SHARE * this.all.fraction;
    return this.classes[sizeClass].fraction < least;
  }

  classOf(size: number): SizeClass {
    if (size > (this.sizes.value(LARGEST_QUANTILE) ?? Infinity)) {
      return "largest";
    }
    const large = size > (this.sizes.value(LARGE_QUANTILE) ?? Infinity);
    return large ? "large" : "usual";
  }
}

/** Where an ask is counted; see {@link SizeShares.asked}. */
export type SizedKind = { kind: string; sizeClass: SizeClass };

/** Served fractions by kind and size class; see the module. */
export class SizeShares {
  readonly #kinds = new Map<string, KindShares>();

  /** Counts an ask. `again`: its caller was refused before, and counted then. */
  asked(kind: string, cost: Cost, again: boolean): SizedKind {
    const shares = this.#kinds.get(kind) ?? new KindShares();
    this.#kinds.set(kind, shares);
    const size = sizeOf(cost);
    const sizeClass = shares.classOf(size);
    if (!again) shares.countAsk(size, sizeClass);
    return { kind, sizeClass };
  }

  /** Counts a grant. `use`: milliseconds of places for its value. */
  granted({ kind, sizeClass }: SizedKind, use: number): void {
    const shares = this.#kinds.get(kind);
    if (shares === undefined) return;
    shares.all.countGrant();
    shares.classes[sizeClass].countGrant();
    shares.grantedUse.add(use);
  }

  /** The value to order an ask by: its own, or more while its class is underserved. */
  valueOf({ kind, sizeClass }: SizedKind, cost: Cost, own: number): number {
    const shares = this.#kinds.get(kind);
    const use = shares?.grantedUse.value(GRANTED_QUANTILE);
    if (!shares?.isUnderserved(sizeClass) || use === undefined) return own;
    return Math.max(own, nominalUse(cost) / use);
  }
}
