/**
 * Keeps the suspects of this entry and those in the store in step: reads them at
 * the start and while entries can't reach each other, and writes them again to a
 * store that was restored.
 * @module
 */
import type { SuspectStatement } from "@sycamorepulley/decisions";
import type { SuspectRecords } from "./suspect_records.ts";

/** Depends on who grants: one entry of a group reads and writes for all. */
export class SuspectSharing {
  readonly #records: SuspectRecords;
  readonly #isGranting: () => boolean;
  readonly #statements: () => readonly SuspectStatement[];

  constructor(options: {
    records: SuspectRecords;
    /** Whether this entry grants for its group. */
    isGranting: () => boolean;
    /** Quarantines and suspects that this entry shares. */
    statements: () => readonly SuspectStatement[];
  }) {
    this.#records = options.records;
    this.#isGranting = options.isGranting;
    this.#statements = options.statements;
  }

  /** True once the stored suspects have been read. */
  get isRead(): boolean {
    return this.#records.isRead;
  }

  /** Reads the stored suspects; called at the start. */
  read(): void {
    void this.#records.read();
  }

  /** Of suspects only the granting entry knows all crashes. */
  write(statement: SuspectStatement): void {
    if (statement.kind !== "quarantined" && !this.#isGranting()) return;
    void this.#records.write(statement);
  }

  /** Writes what a restored store may have lost. */
  writeAgain(): void {
    if (!this.#isGranting()) return;
    for (const statement of this.#statements()) this.write(statement);
  }

  /**
   * Reads again while entries are divided: those that this one can't reach may
   * have added some.
   */
  readWhileDivided(): void {
    if (this.#isGranting()) void this.#records.readWhileDivided();
  }
}
