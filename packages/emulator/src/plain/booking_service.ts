/** An emulated booking service: a plain service with calls not to be repeated. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout } from "node:timers/promises";
import { findMarker } from "../markers/marked_text.ts";
import { FaultSwitch } from "../faults/fault_switch.ts";
import { failRecord, followAnswer, History } from "../history/history.ts";
import type { HistoryRecord } from "../history/history_record.ts";
import {
  parseJson,
  readText,
  sendCutJson,
  sendJson,
} from "../server/http_messages.ts";
import { CallSlots } from "./call_slots.ts";
import type { PlainSettings } from "./plain_settings.ts";

const BOOKING_PATH = /^\/bookings\/(\d+)$/;

/** One slot that was booked. */
export type Booking = {
  id: number;
  server: string;
  marker: string | undefined;
  details: unknown;
};

/**
 * `POST /bookings` makes a new booking each time that it runs, and does not
 * look at idempotency keys: running it twice books twice.
 */
export class BookingService {
  readonly history: History;
  readonly faultSwitch: FaultSwitch;
  readonly #settings: PlainSettings;
  readonly #slots: CallSlots;
  readonly #crash: () => void;
  readonly #bookings: Booking[] = [];

  constructor(settings: PlainSettings, crash: () => void) {
    this.#settings = settings;
    this.#crash = crash;
    this.#slots = new CallSlots(settings.maxCalls);
    this.history = new History(settings.name);
    this.faultSwitch = new FaultSwitch(settings.seed);
  }

  stop(): void {}

  /** Answers every request that is no control request. */
  async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/health") {
      const { healthy } = this.faultSwitch.faults;
      sendJson(response, healthy ? 200 : 503, { healthy });
      return;
    }
    const text = await readText(request);
    const marker = findMarker(text) ?? findMarker(decodePath(request.url));
    const record = this.history.start(request, { marker }, Date.now());
    followAnswer(record, response);
    if (this.#failsEarly(record, response)) {
      return;
    }
    await this.#call();
    this.#finish(record, response, text);
  }

  #failsEarly(record: HistoryRecord, response: ServerResponse): boolean {
    if (this.faultSwitch.crashes(record.marker)) {
      failRecord(record, Date.now());
      this.#crash();
      return true;
    }
    const route = `${record.method} ${record.path}`;
    const status = this.faultSwitch.errorStatus(route);
    if (status !== undefined) {
      failRecord(record, Date.now());
      sendJson(response, status, { error: { message: "emulated failure" } });
      return true;
    }
    return this.faultSwitch.faults.hang;
  }

  async #call(): Promise<void> {
    await this.#slots.take();
    const { callTime } = this.#settings;
    if (callTime > 0) {
      await setTimeout(callTime * this.faultSwitch.faults.slowFactor);
    }
    this.#slots.give();
  }

  #finish(
    record: HistoryRecord,
    response: ServerResponse,
    text: string,
  ): void {
    if (record.outcome !== "running") {
      return;
    }
    const { status, document } = this.#result(record, text);
    if (this.faultSwitch.crashesMidAnswer(record.marker)) {
      failRecord(record, Date.now());
      this.#crash();
      return;
    }
    if (this.faultSwitch.faults.cutAfterTokens !== undefined) {
      failRecord(record, Date.now());
      sendCutJson(response, document);
      return;
    }
    sendJson(response, status, document);
  }

  #result(
    record: HistoryRecord,
    text: string,
  ): { status: number; document: unknown } {
    if (record.method === "POST" && record.path === "/bookings") {
      return { status: 201, document: this.#book(record.marker, text) };
    }
    const found = BOOKING_PATH.exec(record.path)?.[1];
    const booking = this.#bookings[Number(found) - 1];
    if (record.method !== "GET" || booking === undefined) {
      return { status: 404, document: { error: { message: "not found" } } };
    }
    return { status: 200, document: booking };
  }

  #book(marker: string | undefined, text: string): Booking {
    const booking = {
      id: this.#bookings.length + 1,
      server: this.#settings.name,
      marker,
      details: parseJson(text),
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
