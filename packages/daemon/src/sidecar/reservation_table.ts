/** Which entry's connection holds which reservation. @module */
import type { ReserveMessage } from "@sycamorepulley/protocol";
import type { EntryConnection } from "./entry_connection.ts";

/** A reservation and where its grant or refusal goes. */
export type ReservationRecord = {
  connection: EntryConnection;
  reserve: ReserveMessage;
};

/** Reservations that wait or are granted; running ones have left it. */
export class ReservationTable {
  readonly #records = new Map<string, ReservationRecord>();
  readonly #ofConnection = new Map<EntryConnection, Set<string>>();

  add(id: string, record: ReservationRecord): void {
    this.#records.set(id, record);
    const ids = this.#ofConnection.get(record.connection) ?? new Set();
    ids.add(id);
    this.#ofConnection.set(record.connection, ids);
  }

  has(id: string): boolean {
    return this.#records.has(id);
  }

  get(id: string): ReservationRecord | undefined {
    return this.#records.get(id);
  }

  /** Removes and returns a record. */
  take(id: string): ReservationRecord | undefined {
    const record = this.#records.get(id);
    if (!record) return undefined;
    this.#records.delete(id);
    this.#ofConnection.get(record.connection)?.delete(id);
    return record;
  }

  /** Removes a connection with all its reservations; their names. */
  removeConnection(connection: EntryConnection): string[] {
    const ids = [...this.#ofConnection.get(connection) ?? []];
    this.#ofConnection.delete(connection);
    for (const id of ids) this.#records.delete(id);
    return ids;
  }
}
