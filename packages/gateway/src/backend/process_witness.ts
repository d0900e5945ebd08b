/**
 * Evidence on whether the process of a backend server has outlived a response
 * that ended with its connection.
 *
 * The kernel ends the connections of a killed process as that process itself
 * ends one after a response, and its successor may accept connections at once.
 * Only a connection that was open before the end and still is afterwards shows
 * that the process lives.
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setImmediate, setTimeout } from "node:timers/promises";

/**
 * Milliseconds after the end of a response until the other connections of a
 * process that was killed have ended as well.
 */
const SETTLE_TIME = 10;
/** Milliseconds until it is checked again whether a response is idle. */
const IDLE_CHECK_INTERVAL = 20;
/** Milliseconds until a witness connection is opened again. */
const REOPEN_DELAY = 20;

/** `ended`: connections that were open during the response have ended. */
export type ProcessEvidence = "alive" | "ended" | "unknown";

/** Whether a connection to a backend server is open, and who has ended it. */
export class ConnectionState {
  /** True while no request runs on the connection. */
  isIdle = true;
  readonly #socket: Socket;
  readonly #isPaused: () => boolean;
  #endedByServer = false;
  #isClosed = false;

  /** While `isPaused`, the end of the connection goes unnoticed. */
  constructor(socket: Socket, isPaused: () => boolean = () => false) {
    this.#socket = socket;
    this.#isPaused = isPaused;
    const recordEnd = () => {
      // The end of a connection with a request may be that of its response.
      if (this.isIdle && !this.#isClosed) this.#endedByServer = true;
      this.#isClosed = true;
    };
    socket.once("end", recordEnd);
    socket.once("error", recordEnd);
    socket.once("close", () => this.#isClosed = true);
  }

  /** True if the connection is certainly open. */
  get isOpen(): boolean {
    return !this.#isClosed && !this.#isPaused();
  }

  /** True if the server ended the connection while it was idle. */
  get endedByServer(): boolean {
    return this.#endedByServer;
  }

  /** Bytes that were read from the connection. */
  get bytesRead(): number {
    return this.#socket.bytesRead;
  }
}

/** Called when a witness connection has been opened. */
type OpenCallback = (state: ConnectionState) => void;

/**
 * A connection to a server that no request is sent on. It is open while any
 * response uses it.
 */
export class WitnessConnection {
  readonly #address: { host: string; port: number };
  readonly #users = new Set<OpenCallback>();
  #socket: Socket | undefined;
  #state: ConnectionState | undefined;

  constructor(address: { host: string; port: number }) {
    this.#address = address;
  }

  get isUsed(): boolean {
    return this.#users.size > 0;
  }

  /** The open connection, if there is one. */
  get state(): ConnectionState | undefined {
    return this.#state;
  }

  /** Keeps a connection open until `onOpen` is removed. */
  add(onOpen: OpenCallback): void {
    this.#users.add(onOpen);
    if (this.#socket === undefined) this.#open();
  }

  remove(onOpen: OpenCallback): void {
    this.#users.delete(onOpen);
    if (!this.isUsed) this.#socket?.destroy();
  }

  #open(): void {
    const socket = connect(this.#address);
    this.#socket = socket;
    const state = new ConnectionState(socket);
    // A server that refuses connections is found out at the end of a response.
    socket.on("error", () => {});
    socket.once("connect", () => {
      this.#state = state;
      for (const onOpen of this.#users) onOpen(state);
    });
    socket.once("close", () => void this.#reopen());
    // Without a reader the end of the connection would go unnoticed.
    socket.resume();
  }

  async #reopen(): Promise<void> {
    this.#state = undefined;
    if (this.isUsed) await setTimeout(REOPEN_DELAY);
    this.#socket = undefined;
    if (this.isUsed) this.#open();
  }
}

/** Watches the other connections to a server during one response. */
export class ProcessWitness {
  readonly #response: ConnectionState;
  /** Connections that were open while the response was. */
  readonly #witnesses: ConnectionState[];
  readonly #connection: WitnessConnection;
  readonly #onOpen = (state: ConnectionState) => void this.#add(state);
  #isStopped = false;

  /**
   * `response`: the connection of the response; `others`: all others to the
   * same server.
   */
  constructor(
    options: {
      response: ConnectionState;
      others: Iterable<ConnectionState>;
      connection: WitnessConnection;
    },
  ) {
    const { response, others, connection } = options;
    this.#response = response;
    this.#witnesses = [...others].filter(({ isOpen }) => isOpen);
    this.#connection = connection;
    if (connection.state?.isOpen) this.#witnesses.push(connection.state);
    connection.add(this.#onOpen);
  }

  /** Resolves to the evidence after the end of the response. */
  async evidence(): Promise<ProcessEvidence> {
    await setTimeout(SETTLE_TIME);
    if (this.#witnesses.some(({ isOpen }) => isOpen)) return "alive";
    const hasEnded = this.#witnesses
      .some(({ endedByServer }) => endedByServer);
    return hasEnded ? "ended" : "unknown";
  }

  stop(): void {
    this.#isStopped = true;
    this.#connection.remove(this.#onOpen);
  }

  /**
   * Adds a connection that was opened during the response, once all bytes of
   * the response that had arrived were read: an end behind unread bytes may be
   * older than the connection.
   */
  async #add(state: ConnectionState): Promise<void> {
    while (!this.#isStopped && state.isOpen) {
      const { bytesRead } = this.#response;
      await setImmediate();
      await setImmediate();
      const isIdle = this.#response.isOpen &&
        this.#response.bytesRead === bytesRead;
      if (isIdle) {
        this.#witnesses.push(state);
        return;
      }
      await setTimeout(IDLE_CHECK_INTERVAL);
    }
  }
}
