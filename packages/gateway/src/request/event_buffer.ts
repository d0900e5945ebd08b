/**
 * Splits a stream of server-sent events into complete events. A server may fail
 * in the middle of an event. A partial event must not reach the caller, because
 * the next server's events would be appended to it.
 * @module
 */

/** Byte value of a line feed. */
const NEWLINE = 10;
/** Start of the line that states the id of an event. */
const ID_FIELD = Buffer.from("id:");

/** Holds back the bytes of an event until it is complete. */
export class EventBuffer {
  #partialEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** Id of the last complete event that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** True while the start of an incomplete event is held back. */
  get hasPartialEvent(): boolean {
    return this.#partialEvent.length > 0;
  }

  /** Returns the bytes up to the end of the last complete event, if any. */
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
    const completeEvents = bytes.subarray(0, end);
    this.#lastEventId = findLastEventId(completeEvents) ?? this.#lastEventId;
    return completeEvents;
  }

  /** Discards a partial event that will not be completed. */
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
  let fieldStart = bytes.lastIndexOf(ID_FIELD);
  while (fieldStart > 0 && bytes[fieldStart - 1] !== NEWLINE) {
    fieldStart = bytes.lastIndexOf(ID_FIELD, fieldStart - 1);
  }
  if (fieldStart < 0) return undefined;
  const end = bytes.indexOf(NEWLINE, fieldStart);
  return bytes.subarray(fieldStart + ID_FIELD.length, end).toString("latin1")
    .trim();
}
