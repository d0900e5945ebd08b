/**
 * One HTTP exchange with a backend server: a request and its response.
 *
 * Only a complete response of the server to this very request may reach the
 * caller. Responses to other requests, responses without the server's seal, and
 * truncated bodies must not. A plain response is therefore buffered until it is
 * complete, and a stream is passed on in complete events.
 * @module
 */
import { ResponseListener } from "../backend/backend_connection.ts";
import type {
  BackendConnection,
  BackendRequest,
  ResponseHead,
  SentRequest,
} from "../backend/backend_connection.ts";
import { isCloseDelimited } from "../backend/close_delimited.ts";
import type { HeaderNames } from "../front/header_names.ts";
import { ByteBuffer } from "@sycamorepulley/receiving";
import type { HeldBytes } from "./entry_memory.ts";
import { EventBuffer } from "./event_buffer.ts";

/** Largest plain response that is buffered, in bytes; a larger one fails. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/** Largest event of a stream that is buffered, in bytes; a larger one fails. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** The highest status that HTTP defines a class for. */
const LAST_STATUS = 599;
/** HTTP status of a server that is not the intended one; it ran nothing. */
const MISDIRECTED = 421;

/** How an exchange ended. */
export type ExchangeResult =
  /** A complete plain response, not yet passed on. */
  | { kind: "plain"; head: ResponseHead; body: Buffer }
  /** A complete stream, already passed on. */
  | { kind: "stream"; closeDelimited: boolean }
  /**
   * The server stated that it did not run the request. `misdirected`: the
   * request was meant for another server.
   */
  | { kind: "not_run"; misdirected: boolean; head: ResponseHead }
  /**
   * No complete response; the request may have run. `oversized`: an event or a
   * body is larger than is buffered.
   */
  | { kind: "broken"; detail: string; oversized?: true }
  /** Cancelled by the gateway. */
  | { kind: "aborted" };

/** Receives the parts of a streamed response as they arrive. */
export type StreamSink = {
  onStart: (head: ResponseHead) => void;
  /**
   * Complete events only, with the id of the latest event that has one. Returns
   * false if no more events should follow until the sink has drained.
   */
  onEvents: (events: Buffer, lastEventId: string | undefined) => boolean;
  /** Calls `action` once when the sink has drained. */
  onceDrained: (action: () => void) => void;
  /** Called when reading from the server goes on after a pause. */
  onResume: () => void;
};

/** Runs one exchange; {@link Exchange.abort} closes the connection. */
export class Exchange extends ResponseListener {
  readonly done: Promise<ExchangeResult>;
  readonly #headerNames: HeaderNames;
  readonly #requestId: string;
  readonly #sink: StreamSink;
  readonly #connection: BackendConnection;
  readonly #onHead: (head: ResponseHead) => void;
  readonly #onBytes: () => void;
  readonly #onFirstPart: (status: number) => void;
  readonly #held: HeldBytes;
  #resolveDone!: (result: ExchangeResult) => void;
  #sentRequest: SentRequest | undefined;
  #head: ResponseHead | undefined;
  #streaming = false;
  readonly #eventBuffer = new EventBuffer();
  readonly #body = new ByteBuffer();
  #finished = false;
  #paused = false;
  firstPartReceived = false;

  constructor(
    options: {
      headerNames: HeaderNames;
      requestId: string;
      connection: BackendConnection;
      sink: StreamSink;
      /** Called with the head of a response that the server itself sent. */
      onHead: (head: ResponseHead) => void;
      /** Called when bytes of the body arrive, also of an incomplete part. */
      onBytes: () => void;
      /**
       * Called at a stream's first event, or the end of a plain response to a
       * request that may have run.
       */
      onFirstPart: (status: number) => void;
      /** Counts the bytes of a part that is not complete, if they count. */
      held: HeldBytes;
    },
  ) {
    super();
    this.#headerNames = options.headerNames;
    this.#requestId = options.requestId;
    this.#connection = options.connection;
    this.#sink = options.sink;
    this.#onHead = options.onHead;
    this.#onBytes = options.onBytes;
    this.#onFirstPart = options.onFirstPart;
    this.#held = options.held;
    this.done = new Promise((resolve) => this.#resolveDone = resolve);
  }

  /** True while nothing is read from the server, as the sink must drain. */
  get isPaused(): boolean {
    return this.#paused;
  }

  start(request: BackendRequest): void {
    this.#sentRequest = this.#connection.send(request, this);
  }

  abort(): void {
    if (this.#finished) return;
    this.#sentRequest?.abort();
    this.#finish({ kind: "aborted" });
  }

  /** Ends the exchange as broken, whatever the server sends later. */
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
    this.#onBytes();
    if (!this.#streaming) {
      this.#bufferBody(chunk);
      return;
    }
    const completeEvents = this.#eventBuffer.push(chunk);
    this.#held.set(this.#eventBuffer.partialSize);
    if (completeEvents !== undefined) this.#passOn(completeEvents);
    if (this.#eventBuffer.partialSize > MAX_EVENT_BYTES) {
      this.#failOversized(`event larger than ${MAX_EVENT_BYTES} bytes`);
    }
  }

  override onEnd(): void {
    if (this.#finished || this.#head === undefined) return;
    if (this.#streaming) {
      this.#endStream();
      return;
    }
    const { status, headers } = this.#head;
    const misdirected = status === MISDIRECTED;
    const notRun = misdirected ||
      headers[this.#headerNames.notRun.toLowerCase()] !== undefined;
    if (notRun) {
      this.firstPartReceived = true;
      this.#finish({ kind: "not_run", misdirected, head: this.#head });
      return;
    }
    this.#markFirstPart();
    const body = this.#body.take();
    this.#finish({ kind: "plain", head: this.#head, body });
  }

  override onError(detail: string): void {
    if (!this.#finished) this.#failWith(detail);
  }

  #endStream(): void {
    if (this.#eventBuffer.partialSize > 0) {
      this.#failWith("stream ended in the middle of an event");
      return;
    }
    this.#startStream();
    this.#finish({
      kind: "stream",
      closeDelimited: isCloseDelimited(this.#head!),
    });
  }

  #passOn(events: Buffer): void {
    this.#startStream();
    const { lastEventId } = this.#eventBuffer;
    if (!this.#sink.onEvents(events, lastEventId)) this.#pauseUntilDrained();
  }

  #pauseUntilDrained(): void {
    if (this.#paused) return;
    this.#paused = true;
    this.#sentRequest?.pause();
    this.#sink.onceDrained(() => this.#resume());
  }

  #resume(): void {
    if (this.#finished) return;
    this.#paused = false;
    this.#sentRequest?.resume();
    this.#sink.onResume();
  }

  #startStream(): void {
    if (this.firstPartReceived) return;
    this.#markFirstPart();
    this.#sink.onStart(this.#head!);
  }

  #markFirstPart(): void {
    if (this.firstPartReceived) return;
    this.firstPartReceived = true;
    this.#onFirstPart(this.#head!.status);
  }

  #bufferBody(chunk: Buffer): void {
    if (this.#body.length + chunk.length > MAX_BUFFERED_BODY_BYTES) {
      this.#failOversized(
        `response body larger than ${MAX_BUFFERED_BODY_BYTES} bytes`,
      );
      return;
    }
    this.#body.append(chunk);
    this.#held.set(this.#body.length);
  }

  /** Why the response is not one of the server to this request, if it isn't. */
  #headProblem(head: ResponseHead): string | undefined {
    const { headers, status } = head;
    if (status > LAST_STATUS) return `status ${status}`;
    const echoed = headers[this.#headerNames.requestId.toLowerCase()];
    const notRun =
      headers[this.#headerNames.notRun.toLowerCase()] !== undefined ||
      status === MISDIRECTED;
    if (echoed !== undefined && echoed !== this.#requestId) {
      return "response to another request";
    }
    if (notRun) return undefined;
    if (echoed === undefined && status < 300) {
      return "response without a request id";
    }
    if (
      headers[this.#headerNames.seal.toLowerCase()] === undefined &&
      status < 300
    ) {
      return "response without a seal";
    }
    if (headers["content-encoding"] !== undefined) {
      return "response with a content encoding";
    }
    const coding = String(headers["transfer-encoding"] ?? "chunked");
    if (coding.trim().toLowerCase() !== "chunked") {
      return "response with a transfer coding";
    }
    return undefined;
  }

  #failWith(detail: string): void {
    this.#sentRequest?.abort();
    this.#finish({ kind: "broken", detail });
  }

  #failOversized(detail: string): void {
    this.#sentRequest?.abort();
    this.#finish({ kind: "broken", detail, oversized: true });
  }

  #finish(result: ExchangeResult): void {
    if (this.#finished) return;
    this.#finished = true;
    this.#held.release();
    this.#resolveDone(result);
  }
}
