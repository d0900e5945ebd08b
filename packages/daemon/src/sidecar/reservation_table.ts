/** The reservations of each entry's connection. @module */
import type { ReserveMessage } from "@sycamorepulley/protocol";
import type { EntryConnection } from "./entry_connection.ts";

/** A reservation, and the connection to which its grant or refusal is sent. */
export type ReservationRecord = {
  connection: EntryConnection;
  reserve: ReserveMessage;
};

/** Holds waiting and granted reservations, but not those that are running. */
export class ReservationTable {
  readonly #records = new Map<string, ReservationRecord>();
  readonly #idsByConnection = new Map<EntryConnection, Set<string>>();

  add(id: string, record: ReservationRecord): void {
    this.#records.set(id, record);
    const ids = this.#idsByConnection.get(record.connection) ?? new Set();
    ids.add(id);
    this.#idsByConnection.set(record.connection, ids);
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
    this.#idsByConnection.get(record.connection)?.delete(id);
    return record;
  }

  /** Removes a connection with its reservations; returns their identifiers. */
  removeConnection(connection: EntryConnection): string[] {
    const ids = [...this.#idsByConnection.get(connection) ?? []];
    this.#idsByConnection.delete(connection);
    for (const id of ids) this.#records.delete(id);
    return ids;
  }
}
