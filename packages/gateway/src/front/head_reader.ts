/**
 * Reads the first head of each connection before it is parsed.
 *
 * The parser of Node.js turns the headers of an incomplete head into strings as
 * they arrive, and keeps them for as long as the caller takes to complete it. As
 * raw bytes they need a fraction of that, and no heap.
 * @module
 */
import type { Socket } from "node:net";
import { ByteBuffer } from "@sycamorepulley/receiving";
import type { HeldBody } from "@sycamorepulley/receiving";
import type { HeadMemory } from "@sycamorepulley/decisions";

const HEAD_END = "\r\n\r\n";
const LINE_END = 10;

/** Bytes of a head up to which its headers are not counted. */
const SMALL_HEAD_BYTES = 1024;

/** What the heads of a process share. */
export type HeadOptions = {
  memory: HeadMemory;
  /** Counts the bytes of a head that is not complete. */
  openBytes: () => HeldBody;
  /** Milliseconds after which a refused caller may return. */
  retryAfter: () => number;
  /** Called when a head is refused for lack of memory. */
  onRefused: () => void;
};

/** What a reader needs besides; it is asked again for each connection. */
type ReaderHooks = {
  /** Largest head in bytes. */
  maxBytes: () => number;
  /** Passes the connection on to the parser, with the bytes read so far. */
  parse: (socket: Socket) => void;
};

/** Reads heads until they are complete, too large, or take too long. */
export class HeadReader {
  readonly #options: HeadOptions;
  readonly #hooks: ReaderHooks;
  readonly #waiting = new Map<Socket, { since: number; end: () => void }>();
  /** Bytes of heap that the head of a connection was admitted with. */
  readonly #admitted = new Map<Socket, number>();

  constructor(options: HeadOptions, hooks: ReaderHooks) {
    this.#options = options;
    this.#hooks = hooks;
  }

  /** Reads the first head of a new connection. */
  read(socket: Socket, now: number): void {
    const head = new ByteBuffer();
    let held: HeldBody | undefined;
    const stop = () => {
      this.#waiting.delete(socket);
      held?.release();
      socket.off("data", receive);
      socket.off("error", stop);
      socket.off("close", stop);
      socket.off("end", endEarly);
    };
    const refuse = () => {
      stop();
      this.#options.onRefused();
      end(socket, this.#refusal());
    };
    const passOn = (bytes: Buffer) => {
      stop();
      if (!this.#admit(socket, bytes)) return refuse();
      socket.pause();
      socket.unshift(bytes);
      this.#hooks.parse(socket);
      socket.resume();
    };
    const receive = (chunk: Buffer) => {
      if (held === undefined && chunk.includes(HEAD_END)) return passOn(chunk);
      held ??= this.#hold(refuse);
      // The end may begin in the bytes before.
      head.append(chunk);
      const bytes = head.length;
      const isOver = bytes > this.#hooks.maxBytes() || head.includes(HEAD_END);
      if (isOver) return passOn(head.take());
      if (!held.recordReceived(chunk.length, bytes, bytes)) refuse();
    };
    const endEarly = () => {
      stop();
      end(socket, head.length > 0 ? errorHead("400 Bad Request") : "");
    };
    socket.on("data", receive);
    socket.once("error", stop);
    socket.once("close", stop);
    socket.once("end", endEarly);
    this.#waiting.set(socket, { since: now, end: stop });
  }

  /** Ends connections that have not sent a head since `time`. */
  endOlderThan(time: number): void {
    for (const [socket, { since, end: stop }] of this.#waiting) {
      // The first connection is the oldest one.
      if (since > time) return;
      stop();
      end(socket, errorHead("408 Request Timeout"));
    }
  }

  /** Closes all connections whose heads are not complete. */
  closeAll(): void {
    for (const socket of this.#waiting.keys()) socket.destroy();
  }

  /**
   * Admits the head of a request that was parsed, if that of its connection was
   * not admitted before. Returns false if there is no room.
   */
  admitParsed(socket: Socket, headers: number): boolean {
    return this.#admitted.has(socket) || this.#reserve(socket, headers);
  }

  /** Releases what the head of a connection's request was admitted with. */
  release(socket: Socket): void {
    this.#options.memory.release(this.#admitted.get(socket) ?? 0);
    this.#admitted.delete(socket);
  }

  #admit(socket: Socket, bytes: Buffer): boolean {
    const isSmall = bytes.length <= SMALL_HEAD_BYTES;
    return isSmall || this.#reserve(socket, countHeaders(bytes));
  }

  #reserve(socket: Socket, headers: number): boolean {
    const bytes = this.#options.memory.admit(headers);
    if (bytes === undefined) return false;
    this.#admitted.set(socket, bytes);
    return true;
  }

  #hold(onEvicted: () => void): HeldBody {
    const held = this.#options.openBytes();
    held.onEvicted(onEvicted);
    return held;
  }

  #refusal(): string {
    const seconds = (this.#options.retryAfter() / 1000).toFixed(2);
    return errorHead("503 Service Unavailable", `Retry-After: ${seconds}\r\n`);
  }
}

/** Number of lines of the head at the start of `bytes`. */
function countHeaders(bytes: Buffer): number {
  const end = bytes.indexOf(HEAD_END);
  const head = end < 0 ? bytes : bytes.subarray(0, end);
  let lines = 0;
  for (const byte of head) if (byte === LINE_END) lines++;
  return lines;
}

/** An error response without a body; `headers` with their line ends. */
function errorHead(status: string, headers = ""): string {
  return `HTTP/1.1 ${status}\r\n${headers}Content-Length: 0\r\n` +
    `Connection: close${HEAD_END}`;
}

function end(socket: Socket, response: string): void {
  socket.on("error", () => {});
  // What still arrives would otherwise reset the connection before the response
  // has been read.
  socket.resume();
  socket.end(response, () => socket.destroySoon());
}
