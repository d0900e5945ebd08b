/** One entry's connection to this sidecar: a task for as long as it lives. @module */
import { LinkError } from "@sycamorepulley/protocol";
import type {
  EstablishedLink,
  LoadMessage,
  Message,
} from "@sycamorepulley/protocol";

/** Least time between two load messages on one link, in milliseconds. */
const LOAD_INTERVAL = 100;

/** What the sidecar does with an entry's messages. */
export abstract class EntryMessageHandler {
  abstract onMessage(connection: EntryConnection, message: Message): void;
  abstract onEnd(connection: EntryConnection): void;
}

/** Sends to one entry and names its reservations within this sidecar. */
export class EntryConnection {
  readonly #open: EstablishedLink;
  readonly #name: string;
  #loadSentAt = Number.NEGATIVE_INFINITY;

  constructor(options: { open: EstablishedLink; sequence: number }) {
    this.#open = options.open;
    const { incarnation } = options.open.peerHello;
    // The sequence tells two links of one entry apart: what it reserved over
    // a broken link must not be taken for what it reserves over the next.
    this.#name = `${incarnation}/${options.sequence}`;
  }

  get instance(): string {
    return this.#open.peerHello.instance;
  }

  get peerRevision(): number {
    return this.#open.peerHello.configurationRevision;
  }

  /** Name of a reservation that no other link's reservation has. */
  reservationId(reservation: number): string {
    return `${this.#name}/${reservation}`;
  }

  send(message: Message): void {
    this.#open.link.send(message);
  }

  drained(): Promise<void> {
    return this.#open.link.waitForDrain();
  }

  /** Sends the load unless one has just gone. */
  sendLoad(load: () => LoadMessage, now: number): void {
    if (now - this.#loadSentAt < LOAD_INTERVAL) return;
    this.#loadSentAt = now;
    this.send(load());
  }

  /** Hands every message to `handler` until the link ends. */
  async run(handler: EntryMessageHandler): Promise<LinkError | undefined> {
    try {
      for await (const message of this.#open.messages) {
        handler.onMessage(this, message);
      }
      return undefined;
    } catch (error) {
      if (error instanceof LinkError) return error;
      throw error;
    } finally {
      this.#open.link.close();
      handler.onEnd(this);
    }
  }

  end(): void {
    this.#open.link.end();
  }
}
