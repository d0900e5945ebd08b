/**
 * An entry's session with one sidecar. One task opens the link, and reopens it
 * after a loss, for as long as the sidecar is known.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { LinkError, openLink } from "@sycamorepulley/protocol";
import type {
  EstablishedLink,
  HandOverMessage,
  HelloMessage,
  Link,
  Message,
  ReserveMessage,
} from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { Mailbox } from "./mailbox.ts";
import type { RequestEvent } from "./request_event.ts";

/** Timeout for opening a link, in milliseconds. */
const OPEN_TIMEOUT = 2000;
/** Initial and maximum backoff before a link is reopened, in milliseconds. */
const REOPEN_BACKOFF = { initial: 100, max: 5000 };
/** Heartbeat interval of a link with requests, in milliseconds. */
const HEARTBEAT_INTERVAL = 1000;
/** Heartbeat interval of a link without requests, in milliseconds. */
const IDLE_HEARTBEAT_INTERVAL = 10_000;
/**
 * Milliseconds without a message, with a heartbeat unanswered, after which a
 * sidecar counts as frozen.
 */
const MAX_SILENCE = 3 * HEARTBEAT_INTERVAL;

/** Receives the events of a session that concern no single request. */
export abstract class SessionListener {
  abstract onOpen(session: SidecarSession, hello: HelloMessage): void;
  abstract onMessage(session: SidecarSession, message: Message): void;
  abstract onClosed(
    session: SidecarSession,
    error: LinkError | undefined,
  ): void;
  abstract onMessageIgnored(type: Message["type"]): void;
}

/** Options of {@link SidecarSession}. */
export type SidecarSessionOptions = {
  name: string;
  host: string;
  port: number;
  createHello: () => HelloMessage;
  listener: SessionListener;
  random: () => number;
};

/** One entry's reservations and running requests at one sidecar. */
export class SidecarSession {
  readonly name: string;
  readonly #options: SidecarSessionOptions;
  readonly #requests = new Map<number, Mailbox<RequestEvent>>();
  readonly #stop = new AbortController();
  #link: Link | undefined;
  /**
   * Messages to send when the link opens. They are dropped if it can't be
   * opened: reservations do not wait for a reconnect.
   */
  #pendingMessages: Message[] = [];
  #lastReceivedAt = 0;

  constructor(options: SidecarSessionOptions) {
    this.name = options.name;
    this.#options = options;
  }

  get open(): boolean {
    return this.#link !== undefined;
  }

  get busy(): boolean {
    return this.#requests.size > 0;
  }

  get traffic(): Link["traffic"] | undefined {
    return this.#link?.traffic;
  }

  /** Opens the link, reads from it and reopens it, until {@link close}. */
  async run(): Promise<void> {
    let backoff = REOPEN_BACKOFF.initial;
    while (!this.#stop.signal.aborted) {
      const { host, port, createHello } = this.#options;
      const opened = await openLink({
        host,
        port,
        hello: createHello(),
        timeout: OPEN_TIMEOUT,
      });
      if (opened.isOk) {
        backoff = REOPEN_BACKOFF.initial;
        this.#handleLinkEnd(await this.#read(opened.value));
      } else {
        this.#handleLinkEnd(opened.error);
      }
      await this.#sleep(backoff * (0.5 + this.#options.random()));
      backoff = Math.min(backoff * 2, REOPEN_BACKOFF.max);
    }
  }

  reserve(message: ReserveMessage, mailbox: Mailbox<RequestEvent>): void {
    this.#requests.set(message.reservation, mailbox);
    this.send(message);
  }

  /** Withdraws a reservation, or declines a grant that came too late. */
  withdraw(reservation: number): void {
    if (!this.#requests.delete(reservation)) return;
    this.send({ type: "withdraw", reservation });
  }

  /** Dispatches a request. False if the link was lost and nothing was sent. */
  handOver(message: HandOverMessage): boolean {
    if (!this.#link || this.#link.closed) return false;
    this.#link.send(message);
    return true;
  }

  /** Cancels a running request; the rest of its response is dropped. */
  cancel(reservation: number): void {
    if (!this.#requests.delete(reservation)) return;
    this.send({ type: "cancel", reservation });
  }

  /** Drops a reservation for which no more messages are expected. */
  forget(reservation: number): void {
    this.#requests.delete(reservation);
  }

  send(message: Message): void {
    if (this.#link) this.#link.send(message);
    else this.#pendingMessages.push(message);
  }

  close(): void {
    this.#stop.abort();
    this.#link?.end();
  }

  async #read(established: EstablishedLink): Promise<LinkError | undefined> {
    const { listener } = this.#options;
    this.#link = established.link;
    this.#lastReceivedAt = monotonicNow();
    listener.onOpen(this, established.peerHello);
    for (const message of this.#pendingMessages.splice(0)) {
      established.link.send(message);
    }
    const heartbeat = this.#startHeartbeat(established.link);
    try {
      for await (const message of established.messages) {
        this.#lastReceivedAt = monotonicNow();
        this.#deliver(message);
      }
      return undefined;
    } catch (error) {
      if (error instanceof LinkError) return error;
      throw error;
    } finally {
      clearInterval(heartbeat);
    }
  }

  /** Tells its requests that the link was lost: no more messages will come. */
  #handleLinkEnd(error: LinkError | undefined): void {
    this.#link = undefined;
    this.#pendingMessages = [];
    const mailboxes = [...this.#requests.values()];
    this.#requests.clear();
    for (const mailbox of mailboxes) {
      mailbox.put({ kind: "linkLost", sidecar: this.name });
    }
    this.#options.listener.onClosed(this, error);
  }

  /**
   * Detects a frozen sidecar or a cut cable: the connection stays open without
   * any message, and its requests would wait until their deadlines. Only a link
   * with requests is closed for that, so an idle link needs few heartbeats. A
   * link that carries responses needs none, since every message shows that the
   * sidecar is alive.
   */
  #startHeartbeat(link: Link): NodeJS.Timeout {
    let sentAt = Number.NEGATIVE_INFINITY;
    return setInterval(() => {
      const now = monotonicNow();
      const interval = this.busy ? HEARTBEAT_INTERVAL : IDLE_HEARTBEAT_INTERVAL;
      const silence = now - this.#lastReceivedAt;
      if (silence < interval) return;
      const unanswered = sentAt > this.#lastReceivedAt;
      if (this.busy && unanswered && silence > MAX_SILENCE) {
        return link.close();
      }
      if (now - sentAt < interval) return;
      sentAt = now;
      const { configurationRevision } = this.#options.createHello();
      link.send({ type: "heartbeat", configurationRevision });
    }, HEARTBEAT_INTERVAL);
  }

  #deliver(message: Message): void {
    if (!("reservation" in message)) {
      return this.#options.listener.onMessage(this, message);
    }
    const event = toRequestEvent(this.name, message);
    const mailbox = this.#requests.get(message.reservation);
    if (mailbox && event) {
      mailbox.put(event);
      if (event.kind === "refuse") this.#requests.delete(message.reservation);
      return;
    }
    // The message crossed a withdrawal, or came after the caller disconnected.
    // Reservation numbers are never reused, so it can't reach another request.
    this.#options.listener.onMessageIgnored(message.type);
    if (message.type === "grant") {
      this.send({ type: "withdraw", reservation: message.reservation });
    }
  }

  async #sleep(duration: number): Promise<void> {
    const { signal } = this.#stop;
    await sleep(duration, undefined, { signal }).catch(() => {});
  }
}

function toRequestEvent(
  sidecar: string,
  message: Message,
): RequestEvent | undefined {
  switch (message.type) {
    case "grant":
      return { kind: "grant", sidecar, grant: message.grant };
    case "refuse": {
      const { reason, retryAfter } = message;
      return { kind: "refuse", sidecar, reason, retryAfter };
    }
    case "head": {
      const { status, headers } = message;
      return { kind: "head", sidecar, status, headers };
    }
    case "chunk": {
      const { sequence, bytes } = message;
      return { kind: "chunk", sidecar, sequence, bytes };
    }
    case "end": {
      const { chunks, length } = message;
      return { kind: "end", sidecar, chunks, length };
    }
    case "failed": {
      const { ran, reason } = message;
      return { kind: "failed", sidecar, ran, reason };
    }
    default:
      return undefined;
  }
}
