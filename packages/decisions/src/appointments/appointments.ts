/**
 * Appointments of refused callers: times at which capacity is promised to them.
 * The same capacity is promised once.
 * @module
 */
import { SPAN, spanOf } from "./demand_history.ts";
import { FORECAST_SPANS } from "./capacity_forecast.ts";
import type { FreeCapacity } from "./capacity_forecast.ts";

/**
 * Milliseconds after its time for which an appointment holds: several round
 * trips of a caller, and the delay of a busy entry.
 */
export const APPOINTMENT_TOLERANCE = 300;
/** Milliseconds by which `Retry-After`, rounded to 10 ms, may be early. */
const EARLY_TOLERANCE = 10;

/** Minimum milliseconds between two searches for lapsed appointments. */
const LAPSE_INTERVAL = 100;
/** Milliseconds up to which a sum is the residue of rounding. */
const RESIDUE = 1e-6;

/** A promise of capacity; times are milliseconds of the granting entry. */
export type Appointment = {
  /** Of the request; see `GrantRequest.fingerprint`. */
  fingerprint: string;
  organisation: string;
  at: number;
  /** Milliseconds after `at` until it lapses. */
  tolerance: number;
  /** Milliseconds of slot time that are promised. */
  runTime: number;
};

/** An appointment, as entries report it to a granting entry. */
export type ServiceAppointment = Appointment & { service: string };

/** A refused request, and the time within which its caller retries. */
export type AppointmentRequest =
  & Pick<Appointment, "fingerprint" | "organisation" | "runTime">
  & {
    earliest: number;
    latest: number;
    /** Random number in [0, 1) that spreads callers within a span. */
    jitter: number;
  };

/** Numbers of appointments since the start. */
export type AppointmentCounts = {
  given: number;
  kept: number;
  served: number;
  lapsed: number;
};

type Entry = { appointment: Appointment; isKept: boolean };

/** All appointments of one service. */
export class Appointments {
  readonly counts: AppointmentCounts = {
    given: 0,
    kept: 0,
    served: 0,
    lapsed: 0,
  };
  /** By fingerprint, in the order in which they were given. */
  readonly #entries = new Map<string, Entry>();
  /** Promised milliseconds of slot time by span. */
  readonly #taken = new Map<number, number>();
  readonly #promised = new Map<string, number>();
  #nextLapse = Infinity;

  get size(): number {
    return this.#entries.size;
  }

  /** Slot time in milliseconds that is promised to an organisation. */
  promisedTo(organisation: string): number {
    return this.#promised.get(organisation) ?? 0;
  }

  /** Slot time in milliseconds that is promised in a span. */
  takenIn(span: number): number {
    return this.#taken.get(span) ?? 0;
  }

  find(fingerprint: string): Appointment | undefined {
    return this.#entries.get(fingerprint)?.appointment;
  }

  /** Gives the earliest appointment for which capacity is left. */
  give(
    request: AppointmentRequest,
    free: FreeCapacity,
  ): Appointment | undefined {
    const { fingerprint, organisation, runTime } = request;
    const at = this.#earliestTime(request, free);
    if (at === undefined) return undefined;
    const appointment = {
      fingerprint,
      organisation,
      at,
      tolerance: APPOINTMENT_TOLERANCE,
      runTime,
    };
    this.add(appointment);
    this.counts.given++;
    return appointment;
  }

  /** Adds an appointment unless one with its fingerprint is known. */
  add(appointment: Appointment): void {
    const { fingerprint, at, tolerance } = appointment;
    if (this.#entries.has(fingerprint)) return;
    this.#entries.set(fingerprint, { appointment, isKept: false });
    this.#nextLapse = Math.min(this.#nextLapse, at + tolerance);
    this.#count(appointment, 1);
  }

  /** True if the caller has returned at its appointment. */
  isKept(fingerprint: string): boolean {
    return this.#entries.get(fingerprint)?.isKept ?? false;
  }

  /** True if the caller has an appointment now; it is kept from then on. */
  keep(fingerprint: string, now: number): boolean {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return false;
    const { at, tolerance } = entry.appointment;
    if (now < at - EARLY_TOLERANCE || now > at + tolerance) return false;
    if (!entry.isKept) this.counts.kept++;
    entry.isKept = true;
    return true;
  }

  /** Releases an appointment; true if it was kept. */
  end(fingerprint: string, isServed: boolean): boolean {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return false;
    this.#remove(entry);
    if (entry.isKept && isServed) this.counts.served++;
    return entry.isKept;
  }

  /** Releases the capacity of appointments that were not kept in time. */
  expire(now: number): void {
    if (now <= this.#nextLapse) return;
    this.#removeLapsed(now);
    this.#nextLapse = Math.max(this.#nextLapse, now + LAPSE_INTERVAL);
    this.#forgetBefore(spanOf(now));
  }

  #removeLapsed(now: number): void {
    this.#nextLapse = Infinity;
    for (const entry of this.#entries.values()) {
      if (entry.isKept) continue;
      const end = entry.appointment.at + entry.appointment.tolerance;
      if (end >= now) {
        this.#nextLapse = Math.min(this.#nextLapse, end);
        continue;
      }
      this.#remove(entry);
      this.counts.lapsed++;
    }
  }

  /** Drops the appointments, the last given first, beyond `slots`. */
  limitTo(slots: number): void {
    for (const entry of [...this.#entries.values()].reverse()) {
      if (entry.isKept) continue;
      const isBeyond = spansOf(entry.appointment).some(([span]) =>
        this.takenIn(span) > slots * SPAN
      );
      if (isBeyond) this.#remove(entry);
    }
  }

  #earliestTime(
    { runTime, earliest, latest, jitter }: AppointmentRequest,
    free: FreeCapacity,
  ): number | undefined {
    const { first } = free;
    const from = Math.max(first, spanOf(earliest));
    const to = Math.min(spanOf(latest), first + FORECAST_SPANS - 1);
    for (let span = from; span <= to; span++) {
      const at = (span + jitter) * SPAN;
      if (at < earliest || at > latest) continue;
      if (this.#fits(at, at + runTime, free)) return at;
    }
    return undefined;
  }

  /** Whether one more slot is free for the whole time. */
  #fits(at: number, end: number, { first, spans }: FreeCapacity): boolean {
    let from = at;
    for (let span = spanOf(at); from < end; span++) {
      if (span - first >= spans.length) return true;
      const until = Math.min(end, (span + 1) * SPAN);
      if (spans[span - first]! - this.takenIn(span) < until - from) {
        return false;
      }
      from = until;
    }
    return true;
  }

  #remove({ appointment }: Entry): void {
    this.#entries.delete(appointment.fingerprint);
    this.#count(appointment, -1);
  }

  #count(appointment: Appointment, sign: 1 | -1): void {
    const { organisation, runTime } = appointment;
    const promised = this.promisedTo(organisation) + sign * runTime;
    if (promised >= RESIDUE) this.#promised.set(organisation, promised);
    else this.#promised.delete(organisation);
    for (const [span, time] of spansOf(appointment)) {
      const taken = this.takenIn(span) + sign * time;
      if (taken >= RESIDUE) this.#taken.set(span, taken);
      else this.#taken.delete(span);
    }
  }

  #forgetBefore(first: number): void {
    for (const span of this.#taken.keys()) {
      if (span < first) this.#taken.delete(span);
    }
  }
}

/** The spans in which an appointment occupies a slot, and for how long. */
function spansOf(
  { at, runTime }: Pick<Appointment, "at" | "runTime">,
): [span: number, time: number][] {
  const spans: [number, number][] = [];
  const end = at + runTime;
  for (let span = spanOf(at); span * SPAN < end; span++) {
    const from = Math.max(at, span * SPAN);
    spans.push([span, Math.min(end, (span + 1) * SPAN) - from]);
  }
  return spans;
}
