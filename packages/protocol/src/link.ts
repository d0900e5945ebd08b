/**
 * A TCP connection between two processes that carries messages. Its owner runs
 * one loop over {@link Link.receive} for as long as the connection is open.
 * @module
 */
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "./frame_codec.ts";
import { LinkError } from "./link_error.ts";
import type { MessageSchema } from "./frame_codec.ts";
import type { Message } from "./messages.ts";

/** Unsent bytes from which {@link Link.waitForDrain} waits. */
const HIGH_WATER_MARK_BYTES = 1024 * 1024;

/** What a link has carried, for metrics of control traffic. */
export type LinkTraffic = {
  messagesSent: number;
  messagesReceived: number;
  bytesSent: number;
  bytesReceived: number;
};

/** Sends and receives messages over a connected socket. */
export class Link<LinkMessage extends object = Message> {
  readonly peer: string;
  readonly traffic: LinkTraffic = {
    messagesSent: 0,
    messagesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
  };
  readonly #socket: Socket;
  readonly #decoder: FrameDecoder<LinkMessage>;
  #outgoing: LinkMessage[] = [];
  #closed = false;

  constructor(
    options: {
      socket: Socket;
      maximumFrameBytes?: number;
      schema?: MessageSchema<LinkMessage>;
    },
  ) {
    const { socket } = options;
    this.#socket = socket;
    this.peer = `${socket.remoteAddress}:${socket.remotePort}`;
    this.#decoder = new FrameDecoder({ ...options, peer: this.peer });
    socket.setNoDelay(true);
    // The loop over `receive` reports the error; without a listener here it
    // would end the process.
    socket.on("error", () => {});
    socket.once("close", () => this.#closed = true);
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** Queues a message; those of one turn of the event loop share a frame. */
  send(message: LinkMessage): void {
    if (this.#closed) return;
    if (this.#outgoing.length === 0) setImmediate(() => this.#flush());
    this.#outgoing.push(message);
  }

  /** Resolves once the peer has read enough for more bytes to be sent. */
  async waitForDrain(): Promise<void> {
    if (this.#closed || this.#socket.writableLength < HIGH_WATER_MARK_BYTES) {
      return;
    }
    await new Promise<void>((resolve) => {
      const done = () => {
        this.#socket.off("drain", done);
        this.#socket.off("close", done);
        resolve();
      };
      this.#socket.on("drain", done);
      this.#socket.on("close", done);
    });
  }

  /**
   * Yields the peer's messages in order, until it closes the connection.
   * Throws {@link LinkError} on a lost connection or a malformed frame.
   */
  async *receive(): AsyncGenerator<LinkMessage, void> {
    try {
      for await (const bytes of this.#socket) {
        this.traffic.bytesReceived += bytes.byteLength;
        for (const message of this.#decoder.push(bytes)) {
          this.traffic.messagesReceived += 1;
          yield message;
        }
      }
    } catch (error) {
      throw error instanceof LinkError ? error : new LinkError({
        step: "receive",
        peer: this.peer,
        reason: "connection_lost",
        detail: String(error),
      });
    } finally {
      this.close();
    }
  }

  /** Sends the queued messages, then closes the connection. */
  end(): void {
    this.#flush();
    this.#socket.end();
  }

  /** Closes the connection at once. */
  close(): void {
    this.#closed = true;
    this.#socket.destroy();
  }

  #flush(): void {
    if (this.#outgoing.length === 0 || this.#closed) return;
    const messages = this.#outgoing;
    this.#outgoing = [];
    const frame = encodeFrame(messages);
    this.traffic.messagesSent += messages.length;
    this.traffic.bytesSent += frame.byteLength;
    this.#socket.write(frame);
  }
}
