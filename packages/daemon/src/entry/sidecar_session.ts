/**
 * One sidecar's link, seen from the entry: opened on demand, opened again
 * after a loss, one task for as long as the sidecar is listed.
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

const OPEN_TIMEOUT = 2000;
/** First and longest pause before a lost link is opened again. */
const REOPEN_PAUSE = { first: 100, longest: 5000 };
/** A link that carries requests is asked for a sign of life this often. */
const HEARTBEAT_INTERVAL = 1000;
/** An idle link is asked this often. */
const IDLE_HEARTBEAT_INTERVAL = 10_000;
/** Milliseconds of silence, a heartbeat unanswered, after which it is frozen. */
const LONGEST_SILENCE = 3 * HEARTBEAT_INTERVAL;

/** What the session's owner does with what is not one request's. */
export abstract class SessionListener {
  abstract onOpen(session: SidecarSession, hello: HelloMessage): void;
  abstract onMessage(session: SidecarSession, message: Message): void;
  abstract onClosed(
    session: SidecarSession,
    error: LinkError | undefined,
  ): void;
  abstract onIgnored(type: Message["type"]): void;
}

/** Options of {@link SidecarSession}. */
export type SidecarSessionOptions = {
  name: string;
  host: string;
  port: number;
  hello: () => HelloMessage;
  listener: SessionListener;
  random: () => number;
};

/** Reservations and running requests of one entry at one sidecar. */
export class SidecarSession {
  readonly name: string;
  readonly #options: SidecarSessionOptions;
  readonly #requests = new Map<number, Mailbox<RequestEvent>>();
  readonly #stop = new AbortController();
  #link: Link | undefined;
  /** Sent once the link opens: reservations do not wait for a reconnect. */
  #unsent: Message[] = [];
  #heardAt = 0;

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

  /** Runs until {@link close}: opens the link, reads it, opens it again. */
  async run(): Promise<void> {
    let pause = REOPEN_PAUSE.first;
    while (!this.#stop.signal.aborted) {
      const { host, port, hello } = this.#options;
      const opened = await openLink({
        host,
        port,
        hello: hello(),
        timeout: OPEN_TIMEOUT,
      });
      if (opened.isOk) {
        pause = REOPEN_PAUSE.first;
        this.#ended(await this.#read(opened.value));
      } else {
        this.#ended(opened.error);
      }
      await this.#pause(pause * (0.5 + this.#options.random()));
      pause = Math.min(pause * 2, REOPEN_PAUSE.longest);
    }
  }

  reserve(message: ReserveMessage, mailbox: Mailbox<RequestEvent>): void {
    this.#requests.set(message.reservation, mailbox);
    this.send(message);
  }

  /** Takes a reservation back, or declines its late grant. */
  withdraw(reservation: number): void {
    if (!this.#requests.delete(reservation)) return;
    this.send({ type: "withdraw", reservation });
  }

  /** The one dispatch. False when the link is gone: then nothing was sent. */
  handOver(message: HandOverMessage): boolean {
    if (!this.#link || this.#link.closed) return false;
    this.#link.send(message);
    return true;
  }

  /** The caller left; the answer, if any still comes, is dropped. */
  cancel(reservation: number): void {
    if (!this.#requests.delete(reservation)) return;
    this.send({ type: "cancel", reservation });
  }

  /** Nothing more is expected for the reservation. */
  forget(reservation: number): void {
    this.#requests.delete(reservation);
  }

  send(message: Message): void {
    if (this.#link) this.#link.send(message);
    else this.#unsent.push(message);
  }

  close(): void {
    this.#stop.abort();
    this.#link?.end();
  }

  async #read(open: EstablishedLink): Promise<LinkError | undefined> {
    const { listener } = this.#options;
    this.#link = open.link;
    this.#heardAt = monotonicNow();
    listener.onOpen(this, open.peerHello);
    for (const message of this.#unsent.splice(0)) open.link.send(message);
    const heartbeat = this.#startHeartbeat(open.link);
    try {
      for await (const message of open.messages) {
        this.#heardAt = monotonicNow();
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

  /** Requests over a lost link: none of its messages will come any more. */
  #ended(error: LinkError | undefined): void {
    this.#link = undefined;
    this.#unsent = [];
    const lost = [...this.#requests.values()];
    this.#requests.clear();
    for (const mailbox of lost) {
      mailbox.put({ kind: "linkLost", sidecar: this.name });
    }
    this.#options.listener.onClosed(this, error);
  }

  /**
   * Guards against a frozen sidecar or a cut cable: the connection stays open
   * and silent, and requests would wait on it until their deadlines. Only a
   * link with requests is judged, so an idle one costs little; one that
   * answers pass over needs no heartbeat, since every message is a sign of
   * life.
   */
  #startHeartbeat(link: Link): NodeJS.Timeout {
    let sentAt = Number.NEGATIVE_INFINITY;
    return setInterval(() => {
      const now = monotonicNow();
      const interval = this.busy ? HEARTBEAT_INTERVAL : IDLE_HEARTBEAT_INTERVAL;
      const silence = now - this.#heardAt;
      if (silence < interval) return;
      const unanswered = sentAt > this.#heardAt;
      if (this.busy && unanswered && silence > LONGEST_SILENCE) {
        return link.close();
      }
      if (now - sentAt < interval) return;
      sentAt = now;
      const { configurationRevision } = this.#options.hello();
      link.send({ type: "heartbeat", configurationRevision });
    }, HEARTBEAT_INTERVAL);
  }

  #deliver(message: Message): void {
    if (!("reservation" in message)) {
      return this.#options.listener.onMessage(this, message);
    }
    const event = eventOf(this.name, message);
    const mailbox = this.#requests.get(message.reservation);
    if (mailbox && event) {
      mailbox.put(event);
      if (event.kind === "refuse") this.#requests.delete(message.reservation);
      return;
    }
    // An answer that crossed a withdrawal or came after the caller left; the
    // numbers are never used again, so it can't reach another request.
    this.#options.listener.onIgnored(message.type);
    if (message.type === "grant") {
      this.send({ type: "withdraw", reservation: message.reservation });
    }
  }

  async #pause(duration: number): Promise<void> {
    const { signal } = this.#stop;
    await sleep(duration, undefined, { signal }).catch(() => {});
  }
}

function eventOf(
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
