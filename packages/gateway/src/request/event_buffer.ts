/**
 * Whole events of a stream. A server may stop in the middle of an event; a part
 * of one must not reach the caller, or the next server's events would be joined
 * to it.
 * @module
 */

const NEWLINE = 10;
const ID_FIELD = Buffer.from("id:");

/** Cuts a stream of bytes at the ends of events. */
export class EventBuffer {
  #rest: Buffer = Buffer.alloc(0);
  #lastId: string | undefined;

  /** Id of the last whole event that had one. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** True while a part of an event is held back. */
  get partial(): boolean {
    return this.#rest.length > 0;
  }

  /** The whole events that `chunk` completes, as received. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = endOfEvents(bytes);
    if (end === 0) {
      this.#rest = bytes;
      return undefined;
    }
    this.#rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.#lastId = lastIdOf(whole) ?? this.#lastId;
    return whole;
  }

  /** Drops the part of an event that will not be completed. */
  drop(): void {
    this.#rest = Buffer.alloc(0);
  }
}

function endOfEvents(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== NEWLINE) continue;
    const before = bytes[index - 1] === 13 ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === NEWLINE) return index + 1;
  }
  return 0;
}

function lastIdOf(bytes: Buffer): string | undefined {
  let at = bytes.lastIndexOf(ID_FIELD);
  while (at > 0 && bytes[at - 1] !== NEWLINE) {
    at = bytes.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) return undefined;
  const end = bytes.indexOf(NEWLINE, at);
  return bytes.subarray(at + ID_FIELD.length, end).toString("latin1").trim();
}
