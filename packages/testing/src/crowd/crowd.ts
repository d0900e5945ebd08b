/** Many clients that send requests at once and stay connected. @module */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { BodyShape } from "./body_shape.ts";

/** Of so many clients, one sends its whole body. */
const CLIENTS_PER_COMPLETE_BODY = 10;

/** Where the clients connect to, and what their requests start with. */
export type CrowdTarget = {
  host: string;
  port: number;
  /** Request line and headers of a client, each with its line end. */
  head: (client: number) => string;
};

/** The clients that are connected to one process. */
export class Crowd {
  readonly #target: CrowdTarget;
  readonly #sockets: Socket[] = [];

  constructor(target: CrowdTarget) {
    this.#target = target;
  }

  /**
   * Lets so many clients send their bodies at the same time. Resolves once all
   * have sent what they send, or were disconnected; the others stay connected.
   */
  async send(count: number, shape: BodyShape): Promise<void> {
    const clients = Array.from(
      { length: count },
      (_, client) => this.#sendBody(client, shape),
    );
    await Promise.all(clients);
  }

  /** Opens so many connections, and sends the start of a request on each. */
  async open(count: number, start: string): Promise<void> {
    for (let client = 0; client < count; client++) {
      const socket = this.#connect();
      socket.write(start);
      await nextTurn();
    }
  }

  /** Sends the same bytes on each connection. */
  sendOnAll(bytes: string): void {
    for (const socket of this.#sockets) socket.write(bytes);
  }

  /** Closes all connections. */
  leave(): void {
    for (const socket of this.#sockets.splice(0)) socket.destroy();
  }

  #connect(): Socket {
    const { host, port } = this.#target;
    const socket = connect({ host, port, noDelay: true });
    socket.on("error", () => {});
    socket.resume();
    this.#sockets.push(socket);
    return socket;
  }

  async #sendBody(client: number, shape: BodyShape): Promise<void> {
    const socket = this.#connect();
    const complete = client % CLIENTS_PER_COMPLETE_BODY === 0;
    socket.write(
      `${this.#target.head(client)}${shape.lengthHeader}\r\n\r\n`,
    );
    for (const piece of shape.pieces(complete)) {
      await nextTurn();
      if (!await writeBytes(socket, piece)) return;
    }
  }
}

/** Resolves once the system has taken the bytes; false if it can't any more. */
export function writeBytes(
  socket: Socket,
  bytes: Buffer,
): Promise<boolean> {
  return new Promise((resolve) => {
    if (socket.destroyed) return resolve(false);
    const disconnect = () => resolve(false);
    socket.once("close", disconnect);
    socket.write(bytes, (error) => {
      socket.off("close", disconnect);
      resolve(!error);
    });
  });
}
