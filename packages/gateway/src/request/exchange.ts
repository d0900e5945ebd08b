/**
 * One request at one backend server, from its sending to the end of the answer.
 *
 * What is not the server's whole answer to this request must not reach the
 * caller: answers to other requests, answers without the server's seal, bodies
 * cut short. A plain answer is therefore held until it is whole; a stream is
 * passed on in whole events.
 * @module
 */
import { AnswerListener } from "../backend/channel.ts";
import type {
  AnswerHead,
  BackendRequest,
  Channel,
} from "../backend/channel.ts";
import type { HeaderNames } from "../front/header_names.ts";
import { isUnframed } from "./caller.ts";
import { EventBuffer } from "./event_buffer.ts";

/** Largest plain answer that is held until it is whole, in bytes. */
const LARGEST_HELD = 1024 * 1024;

/** Another server has the address; it did not run the request. */
const MISDIRECTED = 421;

/** How an exchange ended. */
export type ExchangeEnd =
  /** A whole plain answer, not yet passed on. */
  | { kind: "plain"; head: AnswerHead; body: Buffer }
  /** A whole stream, passed on. */
  | { kind: "stream"; unframed: boolean }
  /**
   * The server's own word that it did not run the request; `misdirected`: it is
   * another one than the request was meant for.
   */
  | { kind: "not_run"; misdirected: boolean }
  /** No whole answer; the request may have run. */
  | { kind: "broken"; detail: string }
  /** Given up by this side. */
  | { kind: "aborted" };

/** Takes the parts of a stream as they come. */
export type StreamSink = {
  begin: (head: AnswerHead) => void;
  /** Whole events. */
  events: (events: Buffer, lastId: string | undefined) => void;
};

/** Runs one exchange; {@link Exchange.abort} closes the connection. */
export class Exchange extends AnswerListener {
  readonly done: Promise<ExchangeEnd>;
  readonly #names: HeaderNames;
  readonly #request: string;
  readonly #sink: StreamSink;
  readonly #channel: Channel;
  readonly #answered: (head: AnswerHead) => void;
  readonly #first: () => void;
  #finish!: (end: ExchangeEnd) => void;
  #stop: (() => void) | undefined;
  #head: AnswerHead | undefined;
  #streaming = false;
  #events = new EventBuffer();
  #body: Buffer[] = [];
  #size = 0;
  #over = false;
  heard = false;

  constructor(
    options: {
      names: HeaderNames;
      request: string;
      channel: Channel;
      sink: StreamSink;
      /** Takes the head of each answer that is the server's own. */
      answered: (head: AnswerHead) => void;
      /** Called at the first byte that an answer is judged by. */
      first: () => void;
    },
  ) {
    super();
    this.#names = options.names;
    this.#request = options.request;
    this.#channel = options.channel;
    this.#sink = options.sink;
    this.#answered = options.answered;
    this.#first = options.first;
    this.done = new Promise((resolve) => this.#finish = resolve);
  }

  start(request: BackendRequest): void {
    this.#stop = this.#channel.send(request, this);
  }

  abort(): void {
    if (this.#over) return;
    this.#stop?.();
    this.#end({ kind: "aborted" });
  }

  /** Takes what comes, or doesn't, for a broken answer. */
  giveUp(detail: string): void {
    if (!this.#over) this.#break(detail);
  }

  override head(head: AnswerHead): void {
    const problem = this.#problemOf(head);
    if (problem !== undefined) {
      this.#break(problem);
      return;
    }
    this.#head = head;
    if (head.status !== MISDIRECTED) this.#answered(head);
    const type = String(head.headers["content-type"] ?? "");
    this.#streaming = head.status >= 200 && head.status < 300 &&
      type.startsWith("text/event-stream");
  }

  override data(chunk: Buffer): void {
    if (this.#over || this.#head === undefined) return;
    if (!this.#streaming) {
      this.#hold(chunk);
      return;
    }
    const whole = this.#events.push(chunk);
    if (whole === undefined) return;
    this.#begin();
    this.#sink.events(whole, this.#events.lastId);
  }

  override ended(): void {
    if (this.#over || this.#head === undefined) return;
    if (this.#streaming) {
      this.#endStream();
      return;
    }
    this.#hear();
    const { status, headers } = this.#head;
    const unrun = headers[this.#names.notRun.toLowerCase()] !== undefined;
    if (unrun || status === MISDIRECTED) {
      this.#end({ kind: "not_run", misdirected: status === MISDIRECTED });
      return;
    }
    const body = Buffer.concat(this.#body);
    this.#end({ kind: "plain", head: this.#head, body });
  }

  override failed(detail: string): void {
    if (!this.#over) this.#break(detail);
  }

  #endStream(): void {
    if (this.#events.partial) {
      this.#break("the stream ended within an event");
      return;
    }
    this.#begin();
    this.#end({ kind: "stream", unframed: isUnframed(this.#head!) });
  }

  #begin(): void {
    if (this.heard) return;
    this.#hear();
    this.#sink.begin(this.#head!);
  }

  #hear(): void {
    if (this.heard) return;
    this.heard = true;
    this.#first();
  }

  #hold(chunk: Buffer): void {
    this.#size += chunk.length;
    if (this.#size > LARGEST_HELD) {
      this.#break(`an answer of over ${LARGEST_HELD} bytes`);
      return;
    }
    this.#body.push(chunk);
  }

  /** Why the answer can't be this request's, or not a server's own. */
  #problemOf(head: AnswerHead): string | undefined {
    const { headers, status } = head;
    const echoed = headers[this.#names.requestId.toLowerCase()];
    const unrun = headers[this.#names.notRun.toLowerCase()] !== undefined ||
      status === MISDIRECTED;
    if (echoed !== undefined && echoed !== this.#request) {
      return "an answer to another request";
    }
    if (unrun) return undefined;
    if (echoed === undefined && status < 300) return "an answer without a name";
    if (headers[this.#names.seal.toLowerCase()] === undefined && status < 300) {
      return "an answer without a seal";
    }
    if (headers["content-encoding"] !== undefined) return "an encoded answer";
    return undefined;
  }

  #break(detail: string): void {
    this.#stop?.();
    this.#end({ kind: "broken", detail });
  }

  #end(end: ExchangeEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.#finish(end);
  }
}
