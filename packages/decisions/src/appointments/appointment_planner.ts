/**
 * Determines when refused callers of one service may retry.
 *
 * A caller returns once, and a second refusal is final. So a caller is sent to
 * a time at which the forecast leaves capacity for it. How much of that
 * capacity is promised follows from how many of the callers with an
 * appointment were served.
 * @module
 */
import { Appointments } from "./appointments.ts";
import type { Appointment, AppointmentCounts } from "./appointments.ts";
import { EqualAppointmentShares } from "./appointment_shares.ts";
import type { AppointmentShares } from "./appointment_shares.ts";
import { CapacityForecast } from "./capacity_forecast.ts";
import type { CapacityInputs, FreeCapacity } from "./capacity_forecast.ts";
import { SPAN, spanOf } from "./demand_history.ts";

/** Weight of the newest appointment in the served fraction: the last twenty. */
const NEWEST_WEIGHT = 0.05;
/** Fraction of the free capacity that is promised at least. */
const MINIMUM_PROMISED_FRACTION = 0.1;

/** A refused request. */
export type RefusedRequest =
  & Pick<Appointment, "fingerprint" | "organisation" | "runTime">
  & {
    /** Sort key with which it will be served when it returns. */
    key: number;
    /** Milliseconds after which it returns at the latest. */
    maximumDelay: number;
    jitter: number;
    /** Refused before: its caller does not return. */
    isFinal: boolean;
  };

/** When a refused caller is to return, and what that is based on. */
export type PlannedReturn = {
  /** Absent if no capacity is left for it. */
  appointment: Appointment | undefined;
  /** Free slots at that time, or on average if there is no appointment. */
  forecastFree: number;
  /** Milliseconds since the inputs of the forecast were read. */
  forecastAge: number;
};

/** Forecast and appointments of one service. */
export class AppointmentPlanner {
  readonly #forecast = new CapacityForecast();
  readonly #appointments = new Appointments();
  readonly #shares: AppointmentShares;
  /** Fraction of the callers with a kept appointment that were served. */
  #servedFraction = 1;
  #reported: AppointmentCounts = { given: 0, kept: 0, served: 0, lapsed: 0 };

  constructor(shares: AppointmentShares = new EqualAppointmentShares()) {
    this.#shares = shares;
  }

  /** Returns the numbers of appointments since the last call. */
  takeCounts(): AppointmentCounts {
    const { counts } = this.#appointments;
    const { given, kept, served, lapsed } = this.#reported;
    this.#reported = { ...counts };
    return {
      given: counts.given - given,
      kept: counts.kept - kept,
      served: counts.served - served,
      lapsed: counts.lapsed - lapsed,
    };
  }

  /** Milliseconds since the inputs of the forecast were read. */
  forecastAge(now: number): number {
    return this.#forecast.age(now);
  }

  /** Counts a request that was not refused before. */
  recordArrival(key: number, runTime: number, now: number): void {
    this.#forecast.recordArrival(key, runTime, now);
  }

  /** True if the caller returns at its appointment. */
  keep(fingerprint: string, now: number): boolean {
    this.#appointments.expire(now);
    return this.#appointments.keep(fingerprint, now);
  }

  /** Releases the appointment of a request that is granted. */
  recordGrant(fingerprint: string): void {
    this.#end(fingerprint, true);
  }

  /**
   * Releases the appointment of a request that stops waiting for another reason
   * than want of capacity. One whose time has not come yet stays.
   */
  release(fingerprint: string): void {
    if (this.#appointments.isKept(fingerprint)) {
      this.#appointments.end(fingerprint, false);
    }
  }

  /**
   * Finds out when a refused caller is to return; `undefined` while nothing can
   * be predicted, as in the first second after a take-over, when others may
   * still report appointments. `read` returns the current inputs of the forecast.
   */
  plan(
    request: RefusedRequest,
    read: () => CapacityInputs,
    now: number,
  ): PlannedReturn | undefined {
    const { fingerprint, organisation, key } = request;
    this.#appointments.expire(now);
    const held = this.#appointments.find(fingerprint);
    if (held !== undefined && held.at <= now) this.#end(fingerprint, false);
    this.#shares.recordRefusal(organisation, now);
    this.refresh(read, now);
    if (!this.#forecast.isKnown) return undefined;
    const free = this.#promisable(key);
    const appointment = this.#appointments.find(fingerprint) ??
      (request.isFinal ? undefined : this.#give(request, free, now));
    return {
      appointment,
      forecastFree: freeSlots(free, appointment?.at),
      forecastAge: this.#forecast.age(now),
    };
  }

  /** See {@link CapacityForecast.refresh}. */
  refresh(read: () => CapacityInputs, now: number): void {
    this.#forecast.refresh(read, now);
  }

  /** See {@link CapacityForecast.isExcluded}. */
  isExcluded(key: number): boolean {
    return this.#forecast.isKnown && this.#forecast.isExcluded(key);
  }

  /** Adds an appointment that another granting entry has given. */
  merge(appointment: Appointment): void {
    this.#appointments.add(appointment);
  }

  /** Drops appointments beyond the slots that are left. */
  limitTo(slots: number): void {
    this.#appointments.limitTo(slots);
  }

  #give(
    request: RefusedRequest,
    free: FreeCapacity,
    now: number,
  ): Appointment | undefined {
    const { organisation, maximumDelay } = request;
    const earliest = now;
    const latest = now + maximumDelay;
    const promised = this.#appointments.promisedTo(organisation);
    const total = sumUntil(free, spanOf(latest));
    if (!this.#shares.allows(organisation, { promised, total }, now)) {
      return undefined;
    }
    return this.#appointments.give({ ...request, earliest, latest }, free);
  }

  #promisable(key: number): FreeCapacity {
    const fraction = Math.max(MINIMUM_PROMISED_FRACTION, this.#servedFraction);
    return this.#forecast.freeFor(key, fraction);
  }

  #end(fingerprint: string, isServed: boolean): void {
    if (!this.#appointments.end(fingerprint, isServed)) return;
    const served = isServed ? 1 : 0;
    this.#servedFraction += NEWEST_WEIGHT * (served - this.#servedFraction);
  }
}

function sumUntil({ first, spans }: FreeCapacity, last: number): number {
  let sum = 0;
  const end = Math.min(spans.length, last - first + 1);
  for (let index = 0; index < end; index++) sum += spans[index]!;
  return sum;
}

function freeSlots({ first, spans }: FreeCapacity, at?: number): number {
  if (at === undefined) {
    return sumUntil({ first, spans }, Infinity) / (spans.length * SPAN);
  }
  return (spans[spanOf(at) - first] ?? 0) / SPAN;
}
