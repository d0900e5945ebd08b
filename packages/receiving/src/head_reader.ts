/**
 * Reads heads before they are parsed: the first one of each connection, and the
 * following ones while there are many connections.
 *
 * The parser of Node.js turns the headers of an incomplete head into strings as
 * they arrive, and keeps them for as long as the caller takes to complete it. As
 * raw bytes they need a fraction of that, and no heap.
 * @module
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { HeadMemory } from "@sycamorepulley/decisions";
import { ByteBuffer } from "./byte_buffer.ts";
import type { HeldBody } from "./request_memory.ts";

const HEAD_END = "\r\n\r\n";
const LINE_END = 10;
const LINE_BREAK = Buffer.from("\r\n");

/** Bytes of a head up to which its headers are not counted. */
const SMALL_HEAD_BYTES = 1024;
/** Bytes of a head for servers that state no limit; that of Node.js. */
const DEFAULT_HEAD_BYTES = 16 * 1024;
/** Milliseconds between checks for heads that take too long. */
const CHECK_INTERVAL = 500;

/** Node.js reads the largest size of a head for each connection. */
type HttpServer = Server & { maxHeaderSize?: number };

/** What the heads of a process share. */
export type HeadOptions = {
  memory: HeadMemory;
  /** Counts the bytes of a head that is not complete. */
  openBytes: () => HeldBody;
  /** Milliseconds after which a refused caller may return. */
  retryAfter: () => number;
  /** Called when a head is refused for lack of memory. */
  onRefused: () => void;
  /** Called with each new connection, which it may destroy. */
  onConnection: (socket: Socket) => void;
};

/** Reads heads until they are complete, too large, or take too long. */
export class HeadReader {
  readonly #server: HttpServer;
  readonly #options: HeadOptions;
  /** Connects the parser to a connection. */
  readonly #parse: (socket: Socket) => void;
  readonly #waiting = new Map<Socket, { since: number; stop: () => void }>();
  /** Bytes of heap that the head of a connection was admitted with. */
  readonly #admitted = new Map<Socket, number>();

  /** Takes over the new connections of `server`, until it is closed. */
  constructor(server: HttpServer, options: HeadOptions) {
    this.#server = server;
    this.#options = options;
    const [parse] = server.listeners("connection");
    this.#parse = (socket) => parse?.call(server, socket);
    server.removeAllListeners("connection");
    server.on("connection", (socket) => {
      options.onConnection(socket);
      if (!socket.destroyed) this.#read(socket, performance.now());
    });
    const timer = setInterval(
      () => this.#endOlderThan(performance.now() - server.headersTimeout),
      CHECK_INTERVAL,
    ).unref();
    server.once("close", () => clearInterval(timer));
  }

  /** True if incomplete heads of so many connections may not fit into the heap. */
  isCrowded(connections: number): boolean {
    return connections > this.#options.memory.capacity;
  }

  #read(socket: Socket, now: number): void {
    const head = this.#start(socket, (bytes) => {
      this.#parse(socket);
      const listeners = socket.listeners("data") as DataListener[];
      for (const listener of listeners) listener.call(socket, bytes);
    });
    head.handleEnd();
    this.#waiting.set(socket, { since: now, stop: () => head.stop() });
  }

  /**
   * Reads the next head of an idle connection. Its parser no longer reads from
   * the system itself, which takes more time, so that this is for times at which
   * the heap is too small for the heads of all connections.
   */
  readNext(socket: Socket, clock: () => number): void {
    const listeners = socket.listeners("data") as DataListener[];
    const head = this.#start(socket, (bytes) => {
      for (const listener of listeners) {
        socket.on("data", listener);
        listener.call(socket, bytes);
      }
    });
    for (const listener of listeners) socket.off("data", listener);
    socket.prependOnceListener("data", () => {
      this.#waiting.set(socket, { since: clock(), stop: () => head.stop() });
    });
  }

  /** `passOn` gets all bytes once the head is complete or too large. */
  #start(socket: Socket, passOn: (bytes: Buffer) => void): PartialHead {
    const head = new PartialHead(socket, {
      openBytes: this.#options.openBytes,
      maxBytes: () => this.#server.maxHeaderSize ?? DEFAULT_HEAD_BYTES,
      onStop: () => this.#waiting.delete(socket),
      onRefused: () => this.#refuseHead(socket),
      onComplete: (bytes) => {
        if (this.#admit(socket, bytes)) passOn(bytes);
        else this.#refuseHead(socket);
      },
    });
    return head;
  }

  #refuseHead(socket: Socket): void {
    this.#options.onRefused();
    end(socket, this.#refusal());
  }

  /** Ends connections that have not sent a head since `time`. */
  #endOlderThan(time: number): void {
    for (const [socket, { since, stop }] of this.#waiting) {
      // The first head is the oldest one.
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
   * not admitted before. Returns false if the heap has no space for it.
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

  #refusal(): string {
    const seconds = (this.#options.retryAfter() / 1000).toFixed(2);
    return errorHead("503 Service Unavailable", `Retry-After: ${seconds}\r\n`);
  }
}

type DataListener = (this: Socket, bytes: Buffer) => void;

type PartialHeadHooks = {
  openBytes: () => HeldBody;
  maxBytes: () => number;
  /** Called first, however the reading ends. */
  onStop: () => void;
  /** There is no memory for more bytes. */
  onRefused: () => void;
  onComplete: (bytes: Buffer) => void;
};

/** Collects the bytes of one head until it is complete or too large. */
class PartialHead {
  readonly #socket: Socket;
  readonly #hooks: PartialHeadHooks;
  readonly #bytes = new ByteBuffer();
  #held: HeldBody | undefined;

  constructor(socket: Socket, hooks: PartialHeadHooks) {
    this.#socket = socket;
    this.#hooks = hooks;
    socket.on("data", this.#receive);
    socket.once("error", this.stop);
    socket.once("close", this.stop);
  }

  /** Responds to a caller that ends the connection before its head. */
  handleEnd(): void {
    this.#socket.once("end", this.#endEarly);
  }

  readonly stop = () => {
    this.#held?.release();
    this.#socket.off("data", this.#receive);
    this.#socket.off("error", this.stop);
    this.#socket.off("close", this.stop);
    this.#socket.off("end", this.#endEarly);
    this.#hooks.onStop();
  };

  readonly #receive = (chunk: Buffer) => {
    const isFirst = this.#held === undefined;
    if (isFirst && (chunk.includes(HEAD_END) || beginsWithEnd(chunk))) {
      this.stop();
      this.#hooks.onComplete(chunk);
      return;
    }
    this.#held ??= this.#openBytes();
    // The end may begin in the bytes before.
    const from = Math.max(0, this.#bytes.length - HEAD_END.length);
    this.#bytes.append(chunk);
    const { length } = this.#bytes;
    const isTooLarge = length > this.#hooks.maxBytes();
    if (isTooLarge || this.#bytes.includes(HEAD_END, from)) {
      this.stop();
      this.#hooks.onComplete(this.#bytes.take());
    } else if (!this.#held.recordReceived(chunk.length, length, length)) {
      this.#refuse();
    }
  };

  readonly #endEarly = () => {
    this.stop();
    if (this.#bytes.length === 0) this.#socket.end();
    else end(this.#socket, errorHead("400 Bad Request"));
  };

  readonly #refuse = () => {
    this.stop();
    this.#hooks.onRefused();
  };

  #openBytes(): HeldBody {
    const held = this.#hooks.openBytes();
    held.onEvicted(this.#refuse);
    return held;
  }
}

/** Whether the end of a head of which the parser has the start comes first. */
function beginsWithEnd(chunk: Buffer): boolean {
  return chunk[0] === LINE_END || chunk.subarray(0, 2).equals(LINE_BREAK);
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
