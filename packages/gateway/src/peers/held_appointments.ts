/**
 * The appointments of this entry's callers. They are reported to each granting
 * entry that may not know them.
 * @module
 */
import type { ServiceAppointment } from "@sycamorepulley/decisions";
import type { PeerMessage } from "./messages.ts";

type AppointmentsMessage = Extract<PeerMessage, { type: "appointments" }>;

/** Maximum number of appointments in one message. */
const MAXIMUM_APPOINTMENTS = 256;

/** Appointments until they lapse, by fingerprint of the request. */
export class HeldAppointments {
  readonly #held = new Map<string, ServiceAppointment>();
  #nextLapse = Infinity;

  add(appointment: ServiceAppointment, now: number): void {
    const { fingerprint } = appointment;
    this.#held.set(fingerprint, appointment);
    this.#nextLapse = Math.min(this.#nextLapse, lapsesAt(appointment));
    if (now > this.#nextLapse) this.#removeLapsed(now);
  }

  /** Removes the appointment of a request that has a grant. */
  remove(fingerprint: string): void {
    this.#held.delete(fingerprint);
  }

  /** Those that have not lapsed. */
  current(now: number): ServiceAppointment[] {
    this.#removeLapsed(now);
    return [...this.#held.values()];
  }

  #removeLapsed(now: number): void {
    this.#nextLapse = Infinity;
    for (const [fingerprint, appointment] of this.#held) {
      const end = lapsesAt(appointment);
      if (end < now) this.#held.delete(fingerprint);
      else this.#nextLapse = Math.min(this.#nextLapse, end);
    }
  }
}

function lapsesAt({ at, tolerance }: ServiceAppointment): number {
  return at + tolerance;
}

/** Returns the messages that report appointments to another entry. */
export function encodeAppointments(
  appointments: readonly ServiceAppointment[],
  now: number,
): AppointmentsMessage[] {
  const messages: AppointmentsMessage[] = [];
  for (
    let from = 0;
    from < appointments.length;
    from += MAXIMUM_APPOINTMENTS
  ) {
    const part = appointments.slice(from, from + MAXIMUM_APPOINTMENTS);
    messages.push({
      type: "appointments",
      appointments: part.map(({ at, ...appointment }) => ({
        ...appointment,
        startsIn: at - now,
      })),
    });
  }
  return messages;
}

/** Restores the appointments from a message. */
export function decodeAppointments(
  { appointments }: AppointmentsMessage,
  now: number,
): ServiceAppointment[] {
  return appointments.map(({ startsIn, ...appointment }) => ({
    ...appointment,
    at: now + startsIn,
  }));
}
