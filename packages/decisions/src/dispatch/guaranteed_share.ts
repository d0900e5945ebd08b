/**
 * Compares the grants of a class of requests with the share that is guaranteed
 * to it. The comparison depends on the latest grants only, so that it holds as
 * soon as an overload begins.
 * @module
 */

/**
 * Number of grants for which a class may go without its share before it is owed
 * the next one. In a burst that is shorter, the order by value serves most
 * requests on time.
 */
const TOLERATED_GRANTS = 75;
/**
 * Maximum number of grants that a class is ahead by. With a larger one, grants
 * before a burst would make up for refusals in it.
 */
const MAXIMUM_LEAD = 1;

/** The guaranteed share of one class among the grants of several classes. */
export class GuaranteedShare {
  /** Guaranteed grants of the class for each grant of all classes; below 1. */
  perGrant: number;
  /** Grants that the class is short of; negative if it is ahead. */
  #deficit = 0;

  constructor(perGrant: number) {
    this.perGrant = perGrant;
  }

  /** Grants by which the deficit exceeds the tolerated one. */
  get excess(): number {
    return this.#deficit - this.#tolerated;
  }

  /** Makes the deficit as large as is tolerated, unless it is larger. */
  useUpTolerance(): void {
    this.#deficit = Math.max(this.#deficit, this.#tolerated);
  }

  /** Records a grant of any of the classes; `isOwn` if it is of this one. */
  recordGrant(isOwn: boolean): void {
    this.#deficit += this.perGrant - (isOwn ? 1 : 0);
    this.#deficit = Math.max(-MAXIMUM_LEAD, this.#deficit);
    // Without waiting requests a class is not owed more than one grant.
    this.#deficit -= Math.max(0, this.excess - (1 - this.perGrant));
  }

  get #tolerated(): number {
    return TOLERATED_GRANTS * this.perGrant;
  }
}
