/** The caller's side of a request: disconnect and response. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteBuffer } from "@sycamorepulley/receiving";
import type { ResponseHead } from "../backend/backend_connection.ts";
import { isCloseDelimited, NOT_MODIFIED } from "../backend/close_delimited.ts";
import { responseHeaders } from "../front/forwarded_headers.ts";
import type { EntryMemory, HeldBytes, HeldStream } from "./entry_memory.ts";
import { sendErrorResponse } from "./error_response.ts";
import type { ErrorReason } from "./error_response.ts";
import { UnreadEvents } from "./unread_events.ts";

/** Bytes of small events that are written together. */
const MAX_JOINED_BYTES = 16 * 1024;

/**
 * Milliseconds for which a caller may take nothing of a complete response in any
 * case. Lost packets are sent again within some hundred milliseconds.
 */
const MINIMUM_DELIVERY_TIME = 2000;

/** What bounds the memory and the time that a slow caller takes. */
export type CallerBounds = {
  memory: EntryMemory;
  service: string;
  /**
   * Milliseconds that the caller has for its whole response. If it takes nothing
   * of a complete response for as long, the response is given up.
   */
  totalTime: number;
  /** Called when a complete response is given up. */
  onStalled: () => void;
};

/** Sends at most one response, and notices a disconnect. */
export class CallerConnection {
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  #onDisconnect = () => {};
  #disconnected = false;
  #closeDelimited = false;
  /** Events that are written at the end of this step of the event loop. */
  readonly #joinedEvents = new ByteBuffer();
  #bounds: CallerBounds | undefined;
  #heldStream: HeldStream | undefined;
  /** Set instead of the joined events if the memory is bounded. */
  #unreadEvents: UnreadEvents | undefined;
  #heldResponse: HeldBytes | undefined;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#request = request;
    this.#response = response;
    const disconnect = () => this.#handleDisconnect();
    // The socket reports a disconnect at once; the request emits its own events
    // only while its body is being read.
    request.socket.once("end", disconnect);
    request.socket.once("close", disconnect);
    response.once("close", () => {
      request.socket.off("end", disconnect);
      request.socket.off("close", disconnect);
      this.#releaseMemory();
      if (!response.writableFinished) this.#handleDisconnect();
    });
  }

  /** Calls `action` once when the caller disconnects. */
  onDisconnect(action: () => void): void {
    this.#onDisconnect = action;
  }

  /** Bounds what the response may hold; it must not have started. */
  setBounds(bounds: CallerBounds): void {
    this.#bounds = bounds;
  }

  get disconnected(): boolean {
    return this.#disconnected;
  }

  /** True once the head of the response was sent. */
  get responseStarted(): boolean {
    return this.#response.headersSent;
  }

  sendError(status: number, reason: ErrorReason, retryAfter?: number): void {
    if (this.#disconnected || this.responseStarted) return;
    sendErrorResponse(this.#response, status, reason, retryAfter);
  }

  /** Sends a complete response of a server. */
  sendResponse(head: ResponseHead, body: Buffer): void {
    if (this.#disconnected) return;
    const headers = responseHeaders(head.headers);
    if (this.#request.method === "HEAD") {
      if (isCloseDelimited(head)) this.#useCloseDelimiting();
    } else if (head.status !== NOT_MODIFIED) {
      // A length shows whether the response is whole, also if this process is
      // killed.
      headers["content-length"] = String(body.length);
    }
    this.#response.writeHead(head.status, headers);
    this.#response.end(body);
    this.#heldResponse = this.#bounds?.memory.openBytes();
    this.#heldResponse?.set(body.length);
    this.#boundDelivery();
  }

  startStream(head: ResponseHead): void {
    if (this.#disconnected || this.responseStarted) return;
    // Chunks show whether a stream is whole, also if this process is killed. A
    // caller that knows no chunks only sees how its connection ends.
    if (!this.#response.useChunkedEncodingByDefault) this.#useCloseDelimiting();
    this.#response.writeHead(head.status, responseHeaders(head.headers));
    if (this.#bounds === undefined) return;
    const { memory, service } = this.#bounds;
    this.#heldStream = memory.openStream(service);
    this.#unreadEvents = new UnreadEvents(this.#response, this.#heldStream);
  }

  /**
   * Returns false if the caller has yet to read much of what it was sent, or more
   * than the memory of the entry allows where it is bounded. Events that arrive
   * together are written together, as each write needs more memory than a small
   * event.
   */
  sendEvents(events: Buffer): boolean {
    if (this.#disconnected) return true;
    if (this.#unreadEvents !== undefined) {
      return this.#unreadEvents.push(events);
    }
    if (this.#joinedEvents.length === 0) {
      queueMicrotask(() => this.#writeJoinedEvents());
    }
    this.#joinedEvents.append(events);
    if (this.#joinedEvents.length >= MAX_JOINED_BYTES) {
      this.#writeJoinedEvents();
    }
    return !this.#response.writableNeedDrain;
  }

  /**
   * Calls `action` once when the caller has read what it was sent, or when the
   * memory allows more where it is bounded.
   */
  onceDrained(action: () => void): void {
    if (this.#heldStream === undefined) this.#response.once("drain", action);
    else this.#heldStream.onceResumed(action);
  }

  /** Records that a server has not sent the whole response. */
  recordBreak(): void {
    this.#heldStream?.recordBreak();
  }

  /** Ends a stream that is complete. */
  endStream(): void {
    this.#writeJoinedEvents();
    if (this.#disconnected) return;
    if (this.#unreadEvents === undefined) this.#response.end();
    else this.#unreadEvents.end();
    this.#boundDelivery();
  }

  /**
   * Closes the connection, so that the response doesn't look complete. A
   * response that ends with its connection is complete unless it is reset.
   */
  abortResponse(): void {
    this.#writeJoinedEvents();
    if (this.#closeDelimited) this.#request.socket.resetAndDestroy();
    this.#response.destroy();
  }

  /** Makes the response end with its connection. */
  #useCloseDelimiting(): void {
    this.#closeDelimited = true;
    this.#response.useChunkedEncodingByDefault = false;
    this.#response.shouldKeepAlive = false;
  }

  /** Gives a complete response up if the caller takes nothing for too long. */
  #boundDelivery(): void {
    if (this.#bounds === undefined) return;
    const { totalTime, onStalled } = this.#bounds;
    // The timer starts anew whenever the system takes a part of a write.
    const timeout = Math.max(MINIMUM_DELIVERY_TIME, totalTime);
    this.#response.setTimeout(timeout, () => {
      onStalled();
      this.abortResponse();
    });
    // The timer belongs to the connection, on which another response may follow.
    const { socket } = this.#request;
    this.#response.prependOnceListener("finish", () => socket.setTimeout(0));
  }

  #releaseMemory(): void {
    this.#heldStream?.close();
    this.#heldResponse?.release();
  }

  #writeJoinedEvents(): void {
    const events = this.#joinedEvents.take();
    if (events.length === 0 || this.#disconnected) return;
    if (!this.#response.destroyed) this.#response.write(events);
  }

  #handleDisconnect(): void {
    if (this.#disconnected || this.#response.writableFinished) return;
    this.#disconnected = true;
    this.#releaseMemory();
    this.#onDisconnect();
  }
}
