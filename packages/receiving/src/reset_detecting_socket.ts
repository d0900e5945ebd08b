/** A socket that distinguishes a reset from a regular end. @module */
import { Socket } from "node:net";
import type { SocketConstructorOpts } from "node:net";
import type { DuplexOptions } from "node:stream";

/**
 * Node.js reports a reset as a regular end of the stream if bytes arrive
 * together with it. The kernel still shows the difference: only a connection
 * that was reset has no peer any more.
 *
 * Node.js keeps the address of the peer once it was read, so `remoteAddress`
 * must not be read before the end.
 */
export class ResetDetectingSocket extends Socket {
  #wasReset = false;

  constructor(options: SocketConstructorOpts & DuplexOptions = {}) {
    super(options);
    // The first listener: the others already see the result.
    this.once("end", () => {
      if (this.remoteAddress === undefined) this.#wasReset = true;
    });
  }

  /** True if the connection has ended by a reset or another error. */
  get wasReset(): boolean {
    return this.#wasReset;
  }

  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    if (error !== null) this.#wasReset = true;
    super._destroy(error, callback);
  }
}
