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
  #partialEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** Id of the last whole event that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** True while a part of an event is held back. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** The whole events that `chunk` completes, as received. */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.#partialEvent.length === 0
      ? chunk
      : Buffer.concat([this.#partialEvent, chunk]);
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.#partialEvent = bytes;
      return undefined;
    }
    this.#partialEvent = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    this.#lastEventId = findLastEventId(whole) ?? this.#lastEventId;
    return whole;
  }

  /** Drops the part of an event that will not be completed. */
  drop(): void {
    this.#partialEvent = Buffer.alloc(0);
  }
}

function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== NEWLINE) continue;
    const before = bytes[index - 1] === 13 ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === NEWLINE) return index + 1;
  }
  return 0;
}

function findLastEventId(bytes: Buffer): string | undefined {
  let at = bytes.lastIndexOf(ID_FIELD);
  while (at > 0 && bytes[at - 1] !== NEWLINE) {
    at = bytes.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) return undefined;
  const end = bytes.indexOf(NEWLINE, at);
  return bytes.subarray(at + ID_FIELD.length, end).toString("latin1").trim();
}
