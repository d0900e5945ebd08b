/**
 * An emulated booking service: a plain service with non-idempotent calls.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout } from "node:timers/promises";
import { findMarker } from "../markers/marked_text.ts";
import { FaultInjector } from "../faults/fault_injector.ts";
import {
  History,
  recordFailure,
  recordOutcomeOnClose,
} from "../history/history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import {
  parseJson,
  readBody,
  sendJson,
  sendTruncatedJson,
} from "../server/http_messages.ts";
import { CallSlots } from "./call_slots.ts";
import type { PlainSettings } from "./plain_settings.ts";

const BOOKING_PATH = /^\/bookings\/(\d+)$/;

/** One stored booking. */
export type Booking = {
  id: number;
  server: string;
  marker: string | undefined;
  details: unknown;
};

/**
 * `POST /bookings` creates a new booking each time that it runs. It ignores
 * idempotency keys, so running it twice creates two bookings.
 */
export class BookingService {
  readonly history: History;
  readonly faultInjector: FaultInjector;
  readonly #settings: PlainSettings;
  readonly #slots: CallSlots;
  readonly #onCrash: () => void;
  readonly #bookings: Booking[] = [];

  constructor(settings: PlainSettings, onCrash: () => void) {
    this.#settings = settings;
    this.#onCrash = onCrash;
    this.#slots = new CallSlots(settings.maxCalls);
    this.history = new History(settings.name);
    this.faultInjector = new FaultInjector(settings.seed);
  }

  stop(): void {}

  /** Handles every request other than those to the control routes. */
  async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/health") {
      const { healthy } = this.faultInjector.faults;
      sendJson(response, healthy ? 200 : 503, { healthy });
      return;
    }
    const body = await readBody(request);
    const marker = findMarker(body) ?? findMarker(decodePath(request.url));
    const record = this.history.recordStart(request, { marker }, Date.now());
    recordOutcomeOnClose(record, response);
    if (this.#injectFault(record, response)) {
      return;
    }
    await this.#runCall();
    this.#respond(record, response, body);
  }

  /** Returns true if the request must not be processed any further. */
  #injectFault(record: HistoryRecord, response: ServerResponse): boolean {
    if (this.faultInjector.shouldCrash(record.marker)) {
      recordFailure(record, Date.now());
      this.#onCrash();
      return true;
    }
    const route = `${record.method} ${record.path}`;
    const status = this.faultInjector.drawErrorStatus(route);
    if (status !== undefined) {
      recordFailure(record, Date.now());
      sendJson(response, status, { error: { message: "emulated failure" } });
      return true;
    }
    return this.faultInjector.faults.hang;
  }

  async #runCall(): Promise<void> {
    await this.#slots.acquire();
    const { callTime } = this.#settings;
    if (callTime > 0) {
      await setTimeout(callTime * this.faultInjector.faults.slowFactor);
    }
    this.#slots.release();
  }

  #respond(
    record: HistoryRecord,
    response: ServerResponse,
    body: string,
  ): void {
    if (record.outcome !== "running") {
      return;
    }
    const { status, document } = this.#createResult(record, body);
    if (this.faultInjector.shouldCrashMidResponse(record.marker)) {
      recordFailure(record, Date.now());
      this.#onCrash();
      return;
    }
    if (this.faultInjector.faults.cutAfterTokens !== undefined) {
      recordFailure(record, Date.now());
      sendTruncatedJson(response, document);
      return;
    }
    sendJson(response, status, document);
  }

  #createResult(
    record: HistoryRecord,
    body: string,
  ): { status: number; document: unknown } {
    if (record.method === "POST" && record.path === "/bookings") {
      return {
        status: 201,
        document: this.#createBooking(record.marker, body),
      };
    }
    const bookingId = BOOKING_PATH.exec(record.path)?.[1];
    const booking = this.#bookings[Number(bookingId) - 1];
    if (record.method !== "GET" || booking === undefined) {
      return { status: 404, document: { error: { message: "not found" } } };
    }
    return { status: 200, document: booking };
  }

  #createBooking(marker: string | undefined, body: string): Booking {
    const booking = {
      id: this.#bookings.length + 1,
      server: this.#settings.name,
      marker,
      details: parseJson(body),
    };
    this.#bookings.push(booking);
    return booking;
  }
}

function decodePath(path: string | undefined): string {
  try {
    return decodeURIComponent(path ?? "");
  } catch {
    return path ?? "";
  }
}
