/**
 * One request at one backend server, from its sending to the end of the answer.
 *
 * What is not the server's whole answer to this request must not reach the
 * caller: answers to other requests, answers without the server's seal, bodies
 * cut short. A plain answer is therefore held until it is whole; a stream is
 * passed on in whole events.
 * @module
 */
import { ResponseListener } from "../backend/backend_connection.ts";
import type {
  BackendConnection,
  BackendRequest,
  ResponseHead,
} from "../backend/backend_connection.ts";
import type { HeaderNames } from "../front/header_names.ts";
import { isCloseDelimited } from "./caller_connection.ts";
import { EventBuffer } from "./event_buffer.ts";

/** Largest plain answer that is held until it is whole, in bytes. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/** Another server has the address; it did not run the request. */
const MISDIRECTED = 421;

/** How an exchange ended. */
export type ExchangeResult =
  /** A whole plain answer, not yet passed on. */
  | { kind: "plain"; head: ResponseHead; body: Buffer }
  /** A whole stream, passed on. */
  | { kind: "stream"; closeDelimited: boolean }
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
  begin: (head: ResponseHead) => void;
  /** Whole events. */
  events: (events: Buffer, lastId: string | undefined) => void;
};

/** Runs one exchange; {@link Exchange.abort} closes the connection. */
export class Exchange extends ResponseListener {
  readonly done: Promise<ExchangeResult>;
  readonly #names: HeaderNames;
  readonly #request: string;
  readonly #sink: StreamSink;
  readonly #connection: BackendConnection;
  readonly #onHead: (head: ResponseHead) => void;
  readonly #onFirstPart: () => void;
  #resolveDone!: (end: ExchangeResult) => void;
  #abortSending: (() => void) | undefined;
  #head: ResponseHead | undefined;
  #streaming = false;
  #eventBuffer = new EventBuffer();
  #body: Buffer[] = [];
  #bodySize = 0;
  #finished = false;
  firstPartReceived = false;

  constructor(
    options: {
      names: HeaderNames;
      request: string;
      channel: BackendConnection;
      sink: StreamSink;
      /** Takes the head of each answer that is the server's own. */
      answered: (head: ResponseHead) => void;
      /** Called at the first byte that an answer is judged by. */
      first: () => void;
    },
  ) {
    super();
    this.#names = options.names;
    this.#request = options.request;
    this.#connection = options.channel;
    this.#sink = options.sink;
    this.#onHead = options.answered;
    this.#onFirstPart = options.first;
    this.done = new Promise((resolve) => this.#resolveDone = resolve);
  }

  start(request: BackendRequest): void {
    this.#abortSending = this.#connection.send(request, this);
  }

  abort(): void {
    if (this.#finished) return;
    this.#abortSending?.();
    this.#finish({ kind: "aborted" });
  }

  /** Takes what comes, or doesn't, for a broken answer. */
  fail(detail: string): void {
    if (!this.#finished) this.#failWith(detail);
  }

  override onHead(head: ResponseHead): void {
    const problem = this.#headProblem(head);
    if (problem !== undefined) {
      this.#failWith(problem);
      return;
    }
    this.#head = head;
    if (head.status !== MISDIRECTED) this.#onHead(head);
    const type = String(head.headers["content-type"] ?? "");
    this.#streaming = head.status >= 200 && head.status < 300 &&
      type.startsWith("text/event-stream");
  }

  override onData(chunk: Buffer): void {
    if (this.#finished || this.#head === undefined) return;
    if (!this.#streaming) {
      this.#bufferBody(chunk);
      return;
    }
    const whole = this.#eventBuffer.push(chunk);
    if (whole === undefined) return;
    this.#startStream();
    this.#sink.events(whole, this.#eventBuffer.lastEventId);
  }

  override onEnd(): void {
    if (this.#finished || this.#head === undefined) return;
    if (this.#streaming) {
      this.#endStream();
      return;
    }
    this.#markFirstPart();
    const { status, headers } = this.#head;
    const unrun = headers[this.#names.notRun.toLowerCase()] !== undefined;
    if (unrun || status === MISDIRECTED) {
      this.#finish({ kind: "not_run", misdirected: status === MISDIRECTED });
      return;
    }
    const body = Buffer.concat(this.#body);
    this.#finish({ kind: "plain", head: this.#head, body });
  }

  override onError(detail: string): void {
    if (!this.#finished) this.#failWith(detail);
  }

  #endStream(): void {
    if (this.#eventBuffer.hasPartialEvent) {
      this.#failWith("the stream ended within an event");
      return;
    }
    this.#startStream();
    this.#finish({
      kind: "stream",
      closeDelimited: isCloseDelimited(this.#head!),
    });
  }

  #startStream(): void {
    if (this.firstPartReceived) return;
    this.#markFirstPart();
    this.#sink.begin(this.#head!);
  }

  #markFirstPart(): void {
    if (this.firstPartReceived) return;
    this.firstPartReceived = true;
    this.#onFirstPart();
  }

  #bufferBody(chunk: Buffer): void {
    this.#bodySize += chunk.length;
    if (this.#bodySize > MAX_BUFFERED_BODY_BYTES) {
      this.#failWith(`an answer of over ${MAX_BUFFERED_BODY_BYTES} bytes`);
      return;
    }
    this.#body.push(chunk);
  }

  /** Why the answer can't be this request's, or not a server's own. */
  #headProblem(head: ResponseHead): string | undefined {
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

  #failWith(detail: string): void {
    this.#abortSending?.();
    this.#finish({ kind: "broken", detail });
  }

  #finish(end: ExchangeResult): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#resolveDone(end);
  }
}
