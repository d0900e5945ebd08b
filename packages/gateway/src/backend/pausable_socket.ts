/** A socket whose reading can be paused. @module */
import { nextTick } from "node:process";
import type { SocketConstructorOpts } from "node:net";
import type { DuplexOptions } from "node:stream";
import { ResetDetectingSocket } from "@sycamorepulley/receiving";
import { TurnQueue } from "./turn_queue.ts";

/**
 * Bytes read from the network in advance. With 1, at most one read is held
 * while the reading is paused, and the end of the connection is noticed only
 * after all bytes before it were consumed.
 */
const READ_AHEAD_BYTES = 1;

/** Bytes of a large read, after which a socket waits for another turn. */
const LARGE_READ_BYTES = 16 * 1024;

/** Sockets that wait after a large read. */
const largeReads = new TurnQueue();

/**
 * While paused, `read` returns nothing, so that the peer is slowed down by the
 * flow control of TCP. The parser of undici can be paused too, but then fails an
 * assertion if the connection ends.
 *
 * After a large read, a socket waits until it is its turn to read again: one
 * such socket in each turn of the event loop, so that many of them together
 * don't delay small reads. Node.js itself reads up to 2 MiB from a socket before
 * it continues with the next one.
 */
export class PausableSocket extends ResetDetectingSocket {
  #isPaused = false;
  #awaitsTurn = false;
  #resumedAt = -Infinity;
  /** Checks what is read; returns what is wrong with it, if anything. */
  check: (bytes: Uint8Array) => string | undefined = () => undefined;

  constructor() {
    const options: SocketConstructorOpts & DuplexOptions = {
      readableHighWaterMark: READ_AHEAD_BYTES,
    };
    super(options);
  }

  /** True while nothing is read, so that the end goes unnoticed as well. */
  get isReadingPaused(): boolean {
    return this.#isPaused || this.#awaitsTurn;
  }

  /** Time at which reading went on after the last pause. */
  get readingResumedAt(): number {
    return this.#resumedAt;
  }

  pauseReading(): void {
    this.#isPaused = true;
  }

  resumeReading(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#resumedAt = performance.now();
    // The caller of this method may itself be called in the middle of a read.
    nextTick(() => this.#announceBytes());
  }

  // A size of 0 consumes nothing; it starts reading from the network.
  override read(size?: number): unknown {
    if (size === 0) return super.read(0);
    if (this.#isPaused || this.#awaitsTurn) return null;
    const bytes = super.read(size) as Buffer | null;
    const problem = bytes === null ? undefined : this.check(bytes);
    if (problem !== undefined) {
      this.destroy(new Error(problem));
      return null;
    }
    if (bytes !== null && bytes.length >= LARGE_READ_BYTES) this.#awaitTurn();
    return bytes;
  }

  #awaitTurn(): void {
    this.#awaitsTurn = true;
    largeReads.add(() => {
      this.#awaitsTurn = false;
      this.#resumedAt = performance.now();
      this.#announceBytes();
    });
  }

  #announceBytes(): void {
    if (this.#isPaused || this.destroyed) return;
    if (this.readableLength > 0) this.emit("readable");
  }
}
