/**
 * Frames: four bytes of length, big endian, then a CBOR array of messages.
 * Small messages sent in the same turn of the event loop share a frame.
 * @module
 */
import { Encoder } from "cbor-x";
import * as v from "valibot";
import { KEY_MAP } from "./key_map.ts";
import { LinkError } from "./link_error.ts";
import { messageSchema } from "./messages.ts";
import type { Message } from "./messages.ts";

/** Bytes of the length before each frame. */
export const FRAME_HEADER_BYTES = 4;
/** Largest frame: the largest body that settings allow, and its headers. */
export const MAXIMUM_FRAME_BYTES = 32 * 1024 * 1024;

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  // The library's types lack `keyMap` as a field-to-number record.
  ...({ keyMap: KEY_MAP } as object),
});

/** One frame that holds all of `messages`. */
export function encodeFrame(messages: readonly object[]): Uint8Array {
  const payload = codec.encode(messages);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.byteLength);
  frame.writeUInt32BE(payload.byteLength, 0);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/** What the messages of a link are checked against. */
export type MessageSchema<Checked> = v.GenericSchema<unknown, Checked>;

/** Cuts a byte stream into frames and frames into checked messages. */
export class FrameDecoder<Checked = Message> {
  readonly #peer: string;
  readonly #maximumFrameBytes: number;
  readonly #schema: MessageSchema<Checked>;
  #parts: Uint8Array[] = [];
  #buffered = 0;
  #expected: number | undefined;

  constructor(
    options: {
      peer: string;
      maximumFrameBytes?: number;
      /** Absent: the messages between entry and sidecar. */
      schema?: MessageSchema<Checked>;
    },
  ) {
    this.#peer = options.peer;
    this.#schema = options.schema ??
      (messageSchema as unknown as MessageSchema<Checked>);
    this.#maximumFrameBytes = options.maximumFrameBytes ?? MAXIMUM_FRAME_BYTES;
  }

  /**
   * The messages that `bytes` completes.
   * Throws {@link LinkError} on a frame that is too large or malformed; the
   * stream can't be followed after that and the link must be closed.
   */
  push(bytes: Uint8Array): Checked[] {
    this.#parts.push(bytes);
    this.#buffered += bytes.byteLength;
    const messages: Checked[] = [];
    for (;;) {
      const payload = this.#nextPayload();
      if (payload === undefined) return messages;
      messages.push(...this.#decode(payload));
    }
  }

  #nextPayload(): Uint8Array | undefined {
    this.#expected ??= this.#readLength();
    if (this.#expected === undefined || this.#buffered < this.#expected) {
      return undefined;
    }
    const payload = this.#consume(this.#expected);
    this.#expected = undefined;
    return payload;
  }

  #readLength(): number | undefined {
    if (this.#buffered < FRAME_HEADER_BYTES) return undefined;
    const header = this.#consume(FRAME_HEADER_BYTES);
    const length = Buffer.from(header).readUInt32BE(0);
    // Without this bound a peer's four bytes could claim 4 GiB of memory.
    if (length > this.#maximumFrameBytes) {
      throw this.#error("frame_too_large", `${length} bytes announced`);
    }
    return length;
  }

  #consume(count: number): Uint8Array {
    const whole = this.#parts.length === 1
      ? this.#parts[0]!
      : Buffer.concat(this.#parts);
    const rest = whole.subarray(count);
    this.#parts = rest.byteLength > 0 ? [rest] : [];
    this.#buffered -= count;
    return whole.subarray(0, count);
  }

  #decode(payload: Uint8Array): Checked[] {
    let decoded: unknown;
    try {
      decoded = codec.decode(payload);
    } catch (error) {
      throw this.#error("malformed_frame", String(error));
    }
    if (!Array.isArray(decoded)) {
      throw this.#error("malformed_frame", "not an array of messages");
    }
    return decoded.map((message) => this.#check(message));
  }

  #check(message: unknown): Checked {
    const parsed = v.safeParse(this.#schema, message);
    if (parsed.success) return parsed.output;
    const issue = parsed.issues[0];
    const path = v.getDotPath(issue) ?? "message";
    throw this.#error("unknown_message", `${path}: ${issue.message}`);
  }

  #error(
    reason: "frame_too_large" | "malformed_frame" | "unknown_message",
    detail: string,
  ): LinkError {
    return new LinkError({ step: "decode", peer: this.#peer, reason, detail });
  }
}
