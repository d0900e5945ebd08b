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
import type { StorePosition } from "../discovery/mod.ts";

/** Milliseconds that a peer may be ahead before state is requested from it. */
const PULL_DELAY = 250;
/**
 * Milliseconds without the requested part after which another peer is tried.
 */
const PART_TIMEOUT = 700;

/**
 * Identifies a state: where the store wrote it, and its own version if it has
 * one.
 */
export type StatePosition = StorePosition & { version?: number | undefined };

/** A request for the part of a peer's state that begins at byte `offset`. */
export type StateRequest = {
  peer: string;
  position: StatePosition;
  offset: number;
};

/** A part of a peer's state; `total` is the size of the whole in bytes. */
export type StatePart = {
  position: StatePosition;
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
  | { kind: "whole"; position: StatePosition; parts: Uint8Array[] }
  | { kind: "ignored" };

type Transfer = {
  peer: string;
  position: StatePosition;
  offset: number;
  parts: Uint8Array[];
  requestedAt: number;
};

const NO_STATE: StatePosition = { era: 0, revision: 0, version: 0 };

/** Transfers of one kind of state; times in milliseconds. */
export abstract class StatePull {
  readonly #offers = new Map<string, StatePosition>();
  /** Peers that did not send a requested part, or sent corrupted data. */
  readonly #failedPeers = new Set<string>();
  /** Newest state that was received completely but can't be used here. */
  #unusable = NO_STATE;
  #behindSince: number | undefined;
  #transfer: Transfer | undefined;

  /** True if a state is newer than another one of the same kind. */
  abstract isNewer(position: StatePosition, other: StatePosition): boolean;

  /** Records the state that a peer announces. */
  recordOffer(peer: string, position: StatePosition): void {
    this.#offers.set(peer, position);
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
   * Excludes a state that was received completely but can't be used from further
   * requests.
   */
  markUnusable(position: StatePosition): void {
    this.#unusable = this.#newest([this.#unusable, position]);
    this.#transfer = undefined;
  }

  /**
   * Returns the request that starts a transfer, or `undefined` if none is due.
   * `known` is the state held here; `draw`, in [0, 1), selects the peer.
   */
  nextRequest(
    known: StatePosition,
    now: number,
    draw: number,
  ): StateRequest | undefined {
    if (this.#peersAhead(known).length === 0) {
      this.#behindSince = undefined;
      this.#transfer = undefined;
      this.#failedPeers.clear();
      return undefined;
    }
    this.#behindSince ??= now;
    if (this.#isTransferActive(known, now)) return undefined;
    if (now - this.#behindSince < PULL_DELAY) return undefined;
    const peers = this.#preferredPeers(known);
    const peer = peers[Math.floor(draw * peers.length)]!;
    return this.#continueTransfer({
      peer,
      position: this.#offers.get(peer)!,
      offset: 0,
      parts: [],
      requestedAt: now,
    });
  }

  /** Processes a part that a peer sent. */
  receivePart(peer: string, part: StatePart, now: number): StateStep {
    const transfer = this.#transfer;
    if (transfer?.peer !== peer) return { kind: "ignored" };
    const { position, offset, total, bytes } = part;
    if (!this.#isSame(position, transfer.position)) {
      // The peer has moved on to another state and sends that one.
      const restarted = {
        peer,
        position,
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
    // The transfer stays until its state is applied, so that the same state is
    // not requested again meanwhile.
    return { kind: "whole", position, parts: transfer.parts };
  }

  #continueTransfer(transfer: Transfer): StateRequest {
    this.#transfer = transfer;
    const { peer, position, offset } = transfer;
    return { peer, position, offset };
  }

  #isTransferActive(known: StatePosition, now: number): boolean {
    const transfer = this.#transfer;
    if (transfer === undefined) return false;
    const stalled = now - transfer.requestedAt >= PART_TIMEOUT;
    if (!stalled && this.isNewer(transfer.position, known)) return true;
    if (stalled) this.#failedPeers.add(transfer.peer);
    this.#transfer = undefined;
    return false;
  }

  /** Returns the peers whose state is newer than `known` and may be usable. */
  #peersAhead(known: StatePosition): string[] {
    return [...this.#offers].filter(([, offer]) =>
      this.isNewer(offer, known) && this.isNewer(offer, this.#unusable)
    ).map(([peer]) => peer);
  }

  /**
   * Returns the peers with the newest state among those that have not failed,
   * or among all of them if each one that is ahead of `known` has.
   */
  #preferredPeers(known: StatePosition): string[] {
    const ahead = this.#peersAhead(known);
    const working = ahead.filter((peer) => !this.#failedPeers.has(peer));
    if (working.length === 0) this.#failedPeers.clear();
    const candidates = working.length > 0 ? working : ahead;
    const offerOf = (peer: string) => this.#offers.get(peer) ?? NO_STATE;
    const newest = this.#newest(candidates.map(offerOf));
    return candidates
      .filter((peer) => this.#isSame(offerOf(peer), newest));
  }

  #newest(positions: readonly StatePosition[]): StatePosition {
    return positions.reduce((newest, position) =>
      this.isNewer(position, newest) ? position : newest
    );
  }

  #isSame(position: StatePosition, other: StatePosition): boolean {
    return !this.isNewer(position, other) && !this.isNewer(other, position);
  }
}
