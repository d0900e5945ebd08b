/**
 * Evidence on whether the process of a backend server has outlived a response
 * that ended with its connection.
 *
 * The kernel closes the connections of a killed process as the process itself
 * closes one after a response, and another process may already listen at the
 * address. Only a connection that was open before the end and still is afterwards shows
 * that the process lives.
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setImmediate, setTimeout } from "node:timers/promises";

/** Milliseconds within which all connections of a killed process end. */
const SETTLE_TIME = 10;
/**
 * Milliseconds after which a connection that was opened as a witness counts. A
 * server at its connection limit closes it immediately.
 */
const MINIMUM_AGE = 50;
/** Milliseconds until it is checked again whether a response is idle. */
const IDLE_CHECK_INTERVAL = 20;
/**
 * Milliseconds until a witness connection is opened again: the first and the
 * maximum, if the server closes it again and again.
 */
const INITIAL_REOPEN_DELAY = 20;
const MAXIMUM_REOPEN_DELAY = 1000;

/** `ended`: connections to the server have ended together with the response. */
export type ProcessEvidence = "alive" | "ended" | "unknown";

/** Pauses of the reading, in which the end of a connection goes unnoticed. */
export type ReadingPauses = {
  readonly isReadingPaused: boolean;
  /** Time at which reading went on after the last pause. */
  readonly readingResumedAt: number;
};

const NO_PAUSES: ReadingPauses = {
  isReadingPaused: false,
  readingResumedAt: -Infinity,
};

/** A response that is watched; times in milliseconds. */
export abstract class WatchedResponse {
  /** True if its end has certainly not arrived. */
  abstract readonly isOpen: boolean;
  /** Bytes of it that were read. */
  abstract readonly bytesRead: number;
  /** When its end was noticed; `undefined` before. */
  abstract readonly closedAt: number | undefined;
  /** Time at which reading went on after the last pause. */
  abstract readonly readingResumedAt: number;
}

/**
 * Whether a connection to a backend server is open, and when the server has
 * ended it; times in milliseconds.
 */
export class ConnectionState extends WatchedResponse {
  /** True while no request runs on the connection. */
  isIdle = true;
  readonly #socket: Socket;
  readonly #pauses: ReadingPauses;
  #closedAt: number | undefined;
  #wasEndedIdle = false;
  /** Until then, all connections that ended with this one have been noticed. */
  #settledAt = Infinity;

  constructor(socket: Socket, pauses: ReadingPauses = NO_PAUSES) {
    super();
    this.#socket = socket;
    this.#pauses = pauses;
    const recordEnd = () => {
      // The end of a connection with a request may be that of its response.
      if (this.#closedAt !== undefined) return;
      this.#wasEndedIdle = this.isIdle;
      this.#closedAt = performance.now();
      void untilSettled().then(() => this.#settledAt = performance.now());
    };
    socket.once("end", recordEnd);
    socket.once("error", recordEnd);
    socket.once("close", () => this.#closedAt ??= performance.now());
  }

  override get isOpen(): boolean {
    return this.#closedAt === undefined && !this.#pauses.isReadingPaused;
  }

  override get bytesRead(): number {
    return this.#socket.bytesRead;
  }

  override get closedAt(): number | undefined {
    return this.#closedAt;
  }

  override get readingResumedAt(): number {
    return this.#pauses.readingResumedAt;
  }

  /**
   * True if the server ended this connection while it was idle, and the response
   * at the same time. An end that was noticed after a pause may be older.
   */
  endedWith(response: WatchedResponse): boolean {
    if (!this.#wasEndedIdle || this.#closedAt === undefined) return false;
    const responseEndedAt = response.closedAt ?? Infinity;
    const wasPaused = response.readingResumedAt >= this.#closedAt;
    return wasPaused || responseEndedAt <= this.#settledAt;
  }
}

/** Resolves once the ends of connections until now have been noticed. */
async function untilSettled(): Promise<void> {
  await setTimeout(SETTLE_TIME);
  // After a pause of this process, timers are due before what has arrived is
  // read.
  await setImmediate();
  await setImmediate();
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
  #reopenDelay = INITIAL_REOPEN_DELAY;

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
    const openedAt = performance.now();
    socket.once("close", () => {
      const wasShort = performance.now() - openedAt < MAXIMUM_REOPEN_DELAY;
      this.#reopenDelay = wasShort
        ? Math.min(2 * this.#reopenDelay, MAXIMUM_REOPEN_DELAY)
        : INITIAL_REOPEN_DELAY;
      void this.#reopen();
    });
    // Without a reader the end of the connection would go unnoticed.
    socket.resume();
  }

  async #reopen(): Promise<void> {
    this.#state = undefined;
    if (this.isUsed) await setTimeout(this.#reopenDelay);
    this.#socket = undefined;
    if (this.isUsed) this.#open();
  }
}

/** Watches the other connections to a server during one response. */
export class ProcessWitness {
  readonly #response: WatchedResponse;
  /** Connections that were open while the response was. */
  readonly #witnesses: ConnectionState[];
  readonly #connection: WitnessConnection;
  readonly #onOpen = (state: ConnectionState) => void this.#add(state);
  #isStopped = false;

  /**
   * `others`: open connections to the same server, without that of the response.
   */
  constructor(
    options: {
      response: WatchedResponse;
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
    await untilSettled();
    if (this.#witnesses.some(({ isOpen }) => isOpen)) return "alive";
    const hasEnded = this.#witnesses
      .some((witness) => witness.endedWith(this.#response));
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
    await setTimeout(MINIMUM_AGE);
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
