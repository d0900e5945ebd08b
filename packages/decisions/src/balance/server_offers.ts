/**
 * Collects, for one request, the best free server of each data centre.
 * @module
 */

/** The best free server of a data centre. */
export type ServerOffer = {
  dataCentre: string;
  server: string;
  /** Weighted expected milliseconds; see `server_selection.ts`. */
  score: number;
  /** Time at which the response is expected to start. */
  startsAt: number;
  /** Free slots of all servers of the data centre that suit the request. */
  free: number;
};

export class ServerOffers {
  readonly #goalAt: number;
  readonly #offers = new Map<string, ServerOffer>();

  /** Undefined if no server at home is free. */
  #homeFits: boolean | undefined;

  /** `goalAt`: time by which the response has to start to be timely. */
  constructor(goalAt: number) {
    this.#goalAt = goalAt;
  }

  /** Adds a server, with its own free slots. */
  add(added: ServerOffer): void {
    const known = this.#offers.get(added.dataCentre);
    if (known === undefined) {
      this.#offers.set(added.dataCentre, added);
      return;
    }
    known.free += added.free;
    if (!this.#isBetter(added, known)) return;
    known.server = added.server;
    known.score = added.score;
    known.startsAt = added.startsAt;
  }

  /** Records a free server at home, and whether it ever takes the request. */
  recordHomeServer(fits: boolean): void {
    this.#homeFits = fits || this.#homeFits === true;
  }

  /** Whether servers at home are free, and the request is too large for all. */
  get isHomeTooSmall(): boolean {
    return this.#homeFits === false;
  }

  of(dataCentre: string): ServerOffer | undefined {
    return this.#offers.get(dataCentre);
  }

  /** Whether no other data centre has a server for the request. */
  isOnly(dataCentre: string): boolean {
    return this.#offers.size === (this.#offers.has(dataCentre) ? 1 : 0);
  }

  *outside(dataCentre: string): Generator<ServerOffer> {
    for (const offer of this.#offers.values()) {
      if (offer.dataCentre !== dataCentre) yield offer;
    }
  }

  /** A timely server is better than a late one, then the lower score. */
  #isBetter(one: ServerOffer, other: ServerOffer): boolean {
    const isTimely = one.startsAt <= this.#goalAt;
    if (isTimely !== other.startsAt <= this.#goalAt) return isTimely;
    return one.score < other.score;
  }
}
