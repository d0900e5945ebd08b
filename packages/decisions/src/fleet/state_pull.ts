/**
 * Decides which peer an entry requests newer state from, and which part of it.
 *
 * A configuration may occupy a link for a second, and all peers announce
 * several times a second which revision they have. If all of them sent it at
 * once, callers' requests and heartbeats would be held up. State is therefore
 * requested from one peer at a time and in small parts, each after the previous
 * one has arrived, and only after the store has had time to deliver the same
 * state.
 * @module
 */

/** Milliseconds that a peer may be ahead before state is requested from it. */
const PULL_DELAY = 250;
/**
 * Milliseconds without the requested part after which another peer is tried.
 */
const PART_TIMEOUT = 700;

/** A request for the part of a peer's state that begins at byte `offset`. */
export type StateRequest = { peer: string; revision: number; offset: number };

/** A part of a peer's state; `total` is the size of the whole in bytes. */
export type StatePart = {
  revision: number;
  offset: number;
  total: number;
  bytes: Uint8Array;
};

/**
 * What to do after a part was received: request the next part (`ask`), apply
 * the complete state (`whole`), or nothing.
 */
export type StateStep =
  | { kind: "ask"; request: StateRequest }
  | { kind: "whole"; revision: number; parts: Uint8Array[] }
  | { kind: "ignored" };

type Transfer = {
  peer: string;
  revision: number;
  offset: number;
  parts: Uint8Array[];
  requestedAt: number;
};

/** Transfers of one kind of state; times in milliseconds. */
export class StatePull {
  readonly #offers = new Map<string, number>();
  /** Peers that did not send a requested part, or sent corrupted data. */
  readonly #failedPeers = new Set<string>();
  /** Newest revision that was received completely but can't be used here. */
  #unusableRevision = 0;
  #behindSince: number | undefined;
  #transfer: Transfer | undefined;

  /** Records the revision that a peer announces. */
  recordOffer(peer: string, revision: number): void {
    this.#offers.set(peer, revision);
  }

  /** Removes a peer whose link is lost. */
  removePeer(peer: string): void {
    this.#offers.delete(peer);
    this.#failedPeers.delete(peer);
    if (this.#transfer?.peer === peer) this.#transfer = undefined;
  }

  /** Records that the data received from a peer was corrupted. */
  markCorrupted(peer: string): void {
    this.#failedPeers.add(peer);
    this.#transfer = undefined;
  }

  /**
   * Excludes a revision that was received completely but can't be used from
   * further requests.
   */
  markUnusable(revision: number): void {
    this.#unusableRevision = Math.max(this.#unusableRevision, revision);
    this.#transfer = undefined;
  }

  /**
   * Returns the request that starts a transfer, or `undefined` if none is due.
   * `known` is the revision held here; `draw`, in [0, 1), selects the peer.
   */
  nextRequest(
    known: number,
    now: number,
    draw: number,
  ): StateRequest | undefined {
    const newest = Math.max(0, ...this.#offers.values());
    if (newest <= Math.max(known, this.#unusableRevision)) {
      this.#behindSince = undefined;
      this.#transfer = undefined;
      this.#failedPeers.clear();
      return undefined;
    }
    this.#behindSince ??= now;
    if (this.#isTransferActive(known, now)) return undefined;
    if (now - this.#behindSince < PULL_DELAY) return undefined;
    const peers = this.#peersAhead(known);
    const peer = peers[Math.floor(draw * peers.length)]!;
    return this.#continueTransfer({
      peer,
      revision: this.#offers.get(peer)!,
      offset: 0,
      parts: [],
      requestedAt: now,
    });
  }

  /** Processes a part that a peer sent. */
  receivePart(peer: string, part: StatePart, now: number): StateStep {
    const transfer = this.#transfer;
    if (transfer?.peer !== peer) return { kind: "ignored" };
    const { revision, offset, total, bytes } = part;
    if (revision !== transfer.revision) {
      // The peer has moved on to another revision and sends that one.
      const restarted = {
        peer,
        revision,
        offset: 0,
        parts: [],
        requestedAt: now,
      };
      if (offset > 0) {
        return { kind: "ask", request: this.#continueTransfer(restarted) };
      }
      this.#transfer = restarted;
      return this.receivePart(peer, part, now);
    }
    const isNextPart = offset === transfer.offset && bytes.length > 0;
    if (!isNextPart) return { kind: "ignored" };
    transfer.parts.push(bytes);
    transfer.offset += bytes.length;
    transfer.requestedAt = now;
    if (transfer.offset < total) {
      return { kind: "ask", request: this.#continueTransfer(transfer) };
    }
    // The transfer stays until its state is applied, so that the same revision
    // is not requested again meanwhile.
    return { kind: "whole", revision, parts: transfer.parts };
  }

  #continueTransfer(transfer: Transfer): StateRequest {
    this.#transfer = transfer;
    const { peer, revision, offset } = transfer;
    return { peer, revision, offset };
  }

  #isTransferActive(known: number, now: number): boolean {
    const transfer = this.#transfer;
    if (transfer === undefined) return false;
    const stalled = now - transfer.requestedAt >= PART_TIMEOUT;
    if (transfer.revision > known && !stalled) return true;
    if (stalled) this.#failedPeers.add(transfer.peer);
    this.#transfer = undefined;
    return false;
  }

  /**
   * Returns the peers with the newest revision among those that have not
   * failed, or among all of them if each one that is ahead of `known` has.
   */
  #peersAhead(known: number): string[] {
    const ahead = [...this.#offers]
      .filter(([, offer]) => offer > Math.max(known, this.#unusableRevision));
    const working = ahead.filter(([peer]) => !this.#failedPeers.has(peer));
    if (working.length === 0) this.#failedPeers.clear();
    const candidates = working.length > 0 ? working : ahead;
    const newest = Math.max(...candidates.map(([, offer]) => offer));
    return candidates.filter(([, offer]) => offer === newest)
      .map(([peer]) => peer);
  }
}
