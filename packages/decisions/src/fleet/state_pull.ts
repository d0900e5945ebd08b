/**
 * Which peer an entry asks for newer state, and for which part of it.
 *
 * A configuration may take a link a second, and all peers say several times a
 * second that they have it. Sent by all of them at once, neither callers nor
 * heartbeats would get through. So state comes from one peer at a time and in
 * small parts, the next one asked for when one has come, and only after the store
 * has had the time to tell of it.
 * @module
 */

/** Milliseconds that a peer may be ahead before it is asked. */
const PATIENCE = 250;
/** Milliseconds without the part that was asked for until another peer is. */
const STALLED_AFTER = 700;

/** A part to ask a peer for; `offset` in bytes. */
export type StateRequest = { peer: string; revision: number; offset: number };

/** A part as it came; `total` is the size of the whole in bytes. */
export type StatePart = {
  revision: number;
  offset: number;
  total: number;
  bytes: Uint8Array;
};

/** What follows from a part. */
export type StateStep =
  | { kind: "ask"; request: StateRequest }
  | { kind: "whole"; revision: number; parts: Uint8Array[] }
  | { kind: "ignored" };

type Transfer = {
  peer: string;
  revision: number;
  offset: number;
  parts: Uint8Array[];
  askedAt: number;
};

/** One kind of state; times in milliseconds. */
export class StatePull {
  readonly #offers = new Map<string, number>();
  /** Peers that did not send what they were asked for. */
  readonly #failed = new Set<string>();
  /** Newest revision that came whole and can't be used here. */
  #unusable = 0;
  #behindSince: number | undefined;
  #transfer: Transfer | undefined;

  /** States which revision a peer has. */
  recordOffer(peer: string, revision: number): void {
    this.#offers.set(peer, revision);
  }

  /** A peer is heard no more. */
  removePeer(peer: string): void {
    this.#offers.delete(peer);
    this.#failed.delete(peer);
    if (this.#transfer?.peer === peer) this.#transfer = undefined;
  }

  /** What a peer sent was spoilt on the way. */
  markCorrupted(peer: string): void {
    this.#failed.add(peer);
    this.#transfer = undefined;
  }

  /** What came whole can't be used: it isn't asked for again. */
  markUnusable(revision: number): void {
    this.#unusable = Math.max(this.#unusable, revision);
    this.#transfer = undefined;
  }

  /**
   * The first part of a transfer, if one is to begin. `known` is the revision
   * held here; `draw` in [0, 1) chooses among the peers.
   */
  nextRequest(
    known: number,
    now: number,
    draw: number,
  ): StateRequest | undefined {
    const newest = Math.max(0, ...this.#offers.values());
    if (newest <= Math.max(known, this.#unusable)) {
      this.#behindSince = undefined;
      this.#transfer = undefined;
      this.#failed.clear();
      return undefined;
    }
    this.#behindSince ??= now;
    if (this.#underWay(known, now)) return undefined;
    if (now - this.#behindSince < PATIENCE) return undefined;
    const peers = this.#ahead(newest);
    const peer = peers[Math.floor(draw * peers.length)]!;
    return this.#ask({
      peer,
      revision: newest,
      offset: 0,
      parts: [],
      askedAt: now,
    });
  }

  receivePart(peer: string, part: StatePart, now: number): StateStep {
    const transfer = this.#transfer;
    if (transfer?.peer !== peer) return { kind: "ignored" };
    const { revision, offset, total, bytes } = part;
    if (revision !== transfer.revision) {
      // The peer has another revision by now, and sends that one.
      const anew = { peer, revision, offset: 0, parts: [], askedAt: now };
      if (offset > 0) return { kind: "ask", request: this.#ask(anew) };
      this.#transfer = anew;
      return this.receivePart(peer, part, now);
    }
    const next = offset === transfer.offset && bytes.length > 0;
    if (!next) return { kind: "ignored" };
    transfer.parts.push(bytes);
    transfer.offset += bytes.length;
    transfer.askedAt = now;
    if (transfer.offset < total) {
      return { kind: "ask", request: this.#ask(transfer) };
    }
    // It stands until it is taken over: the same is not asked for meanwhile.
    return { kind: "whole", revision, parts: transfer.parts };
  }

  #ask(transfer: Transfer): StateRequest {
    this.#transfer = transfer;
    const { peer, revision, offset } = transfer;
    return { peer, revision, offset };
  }

  #underWay(known: number, now: number): boolean {
    const transfer = this.#transfer;
    if (transfer === undefined) return false;
    const stalled = now - transfer.askedAt >= STALLED_AFTER;
    if (transfer.revision > known && !stalled) return true;
    if (stalled) this.#failed.add(transfer.peer);
    this.#transfer = undefined;
    return false;
  }

  /** Peers that have the revision: those that never failed, if there are any. */
  #ahead(revision: number): string[] {
    const ahead = [...this.#offers].filter(([, offer]) => offer === revision)
      .map(([peer]) => peer);
    const sound = ahead.filter((peer) => !this.#failed.has(peer));
    if (sound.length > 0) return sound;
    this.#failed.clear();
    return ahead;
  }
}
