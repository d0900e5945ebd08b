/** A socket that distinguishes a reset from a regular end. @module */
import type { ConnectionEnd } from "@sycamorepulley/decisions";
import { Socket } from "node:net";
import type { SocketConstructorOpts } from "node:net";
import type { DuplexOptions } from "node:stream";

const NO_BYTES = Buffer.alloc(0);

/**
 * Node.js reports a reset as a regular end of the stream if bytes arrive
 * together with it. The kernel still shows the difference: a connection that was
 * reset has no peer any more, and refuses each write.
 *
 * The two are asked separately, as Node.js keeps the address of the peer once it
 * was read, and a write waits behind an upload.
 */
export class ResetDetectingSocket extends Socket {
  #end: ConnectionEnd | undefined;

  constructor(options: SocketConstructorOpts & DuplexOptions = {}) {
    super(options);
    // The first listener: the others already see the result.
    this.once("end", () => this.recordEnd());
  }

  /** What was found at the end of the connection; `undefined` before it. */
  get connectionEnd(): ConnectionEnd | undefined {
    return this.#end;
  }

  /** Finds out how the connection has ended; for use at its `end` only. */
  protected recordEnd(): void {
    this.#end ??= {
      peer: this.remoteAddress === undefined ? "unknown" : "known",
      write: this.#writeNothing(),
    };
  }

  override _destroy(
    error: NodeJS.ErrnoException | null,
    callback: (error?: Error | null) => void,
  ): void {
    if (error !== null) this.#end = { error: codeOf(error) };
    super._destroy(error, callback);
  }

  /** The peer receives nothing of it. */
  #writeNothing(): string {
    let result = "pending";
    // `write` of a socket that has ended fails before it reaches the kernel.
    super._write(NO_BYTES, "buffer" as BufferEncoding, (error) => {
      result = error ? codeOf(error) : "accepted";
    });
    return result;
  }
}

function codeOf(error: NodeJS.ErrnoException): string {
  return error.code ?? error.message;
}
