/** The connection of one entry to this sidecar. @module */
import { LinkError } from "@sycamorepulley/protocol";
import type {
  EstablishedLink,
  LoadMessage,
  Message,
} from "@sycamorepulley/protocol";

/** Minimum milliseconds between two load messages on one link. */
const MIN_LOAD_INTERVAL = 100;

/** Handles the messages of an entry and the end of its connection. */
export abstract class EntryMessageHandler {
  abstract handleMessage(connection: EntryConnection, message: Message): void;
  abstract handleEnd(connection: EntryConnection): void;
}

/**
 * Sends messages to one entry, and gives its reservations identifiers that are
 * unique within this sidecar.
 */
export class EntryConnection {
  readonly #established: EstablishedLink;
  readonly #idPrefix: string;
  #loadSentAt = Number.NEGATIVE_INFINITY;

  constructor(options: { established: EstablishedLink; sequence: number }) {
    this.#established = options.established;
    const { incarnation } = options.established.peerHello;
    // The sequence number distinguishes two links of the same entry:
    // reservations over a broken link must not be confused with those over the
    // next one.
    this.#idPrefix = `${incarnation}/${options.sequence}`;
  }

  get instance(): string {
    return this.#established.peerHello.instance;
  }

  get peerConfigurationRevision(): number {
    return this.#established.peerHello.configurationRevision;
  }

  /** Returns the identifier of a reservation, unique among all links. */
  reservationId(reservation: number): string {
    return `${this.#idPrefix}/${reservation}`;
  }

  send(message: Message): void {
    this.#established.link.send(message);
  }

  /** Resolves once the peer has read enough for more bytes to be sent. */
  waitForDrain(): Promise<void> {
    return this.#established.link.waitForDrain();
  }

  /** Sends the load, unless the last one was sent too recently. */
  sendLoad(load: () => LoadMessage, now: number): void {
    if (now - this.#loadSentAt < MIN_LOAD_INTERVAL) return;
    this.#loadSentAt = now;
    this.send(load());
  }

  /**
   * Passes every message to `handler` until the link ends; resolves to the
   * error that ended it, if any.
   */
  async run(handler: EntryMessageHandler): Promise<LinkError | undefined> {
    try {
      for await (const message of this.#established.messages) {
        handler.handleMessage(this, message);
      }
      return undefined;
    } catch (error) {
      if (error instanceof LinkError) return error;
      throw error;
    } finally {
      this.#established.link.close();
      handler.handleEnd(this);
    }
  }

  end(): void {
    this.#established.link.end();
  }
}
