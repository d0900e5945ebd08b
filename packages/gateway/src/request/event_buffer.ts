/**
 * Splits a stream of server-sent events into complete events. A server may fail
 * in the middle of an event. A partial event must not reach the caller, because
 * the next server's events would be appended to it.
 * @module
 */
import { ByteBuffer } from "@sycamorepulley/receiving";

/** Byte value of a line feed. */
const NEWLINE = 10;
/** Byte value of a carriage return. */
const CARRIAGE_RETURN = 13;
/** Start of the line that states the id of an event. */
const ID_FIELD = "id:";
/** The same after the end of the line before it. */
const LATER_ID_FIELD = "\nid:";

/** Holds back the bytes of an event until it is complete. */
export class EventBuffer {
  readonly #partialEvent = new ByteBuffer();
  #lastEventId: string | undefined;
  /** The last two bytes before the next chunk; a stream starts with a line. */
  #previousBytes: [number, number] = [0, NEWLINE];

  /** Id of the last complete event that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Bytes held back: the start of an incomplete event. */
  get partialSize(): number {
    return this.#partialEvent.length;
  }

  /** Returns the bytes up to the end of the last complete event, if any. */
  push(chunk: Buffer): Buffer | undefined {
    const end = this.#endOfLastEvent(chunk);
    this.#rememberLastBytes(chunk);
    if (end === 0) {
      this.#partialEvent.append(chunk);
      return undefined;
    }
    const completeEvents = this.#completeEvents(chunk.subarray(0, end));
    this.#partialEvent.append(chunk.subarray(end));
    this.#lastEventId = findLastEventId(completeEvents) ?? this.#lastEventId;
    return completeEvents;
  }

  #completeEvents(bytes: Buffer): Buffer {
    if (this.#partialEvent.length === 0) return bytes;
    return Buffer.concat([this.#partialEvent.take(), bytes]);
  }

  /** Index after the last empty line of the chunk; 0 if it has none. */
  #endOfLastEvent(chunk: Buffer): number {
    for (let index = chunk.length - 1; index >= 0; index--) {
      if (chunk[index] !== NEWLINE) continue;
      if (this.#isEmptyLine(chunk, index)) return index + 1;
    }
    return 0;
  }

  /** Whether the line that ends at `index` is empty. */
  #isEmptyLine(chunk: Buffer, index: number): boolean {
    const before = this.#byteAt(chunk, index - 1);
    if (before !== CARRIAGE_RETURN) return before === NEWLINE;
    return this.#byteAt(chunk, index - 2) === NEWLINE;
  }

  /** The byte at an index, which is -1 or -2 for those before the chunk. */
  #byteAt(chunk: Buffer, index: number): number | undefined {
    return index < 0 ? this.#previousBytes.at(index) : chunk[index];
  }

  #rememberLastBytes(chunk: Buffer): void {
    this.#previousBytes = [
      this.#byteAt(chunk, chunk.length - 2)!,
      this.#byteAt(chunk, chunk.length - 1)!,
    ];
  }
}

function findLastEventId(bytes: Buffer): string | undefined {
  const lineEnd = bytes.lastIndexOf(LATER_ID_FIELD);
  if (lineEnd < 0 && !startsWithId(bytes)) return undefined;
  const start = lineEnd + 1;
  const end = bytes.indexOf(NEWLINE, start);
  return bytes.subarray(start + ID_FIELD.length, end).toString("latin1").trim();
}

function startsWithId(bytes: Buffer): boolean {
  return bytes.subarray(0, ID_FIELD.length).toString("latin1") === ID_FIELD;
}
