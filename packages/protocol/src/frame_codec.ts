/**
 * Encodes and decodes frames. A frame is a length of four bytes, big endian,
 * and then a CBOR array of messages. Messages sent in the same turn of the
 * event loop share a frame.
 * @module
 */
import { Encoder } from "cbor-x";
import * as v from "valibot";
import { KEY_MAP } from "./key_map.ts";
import { LinkError } from "./link_error.ts";
import { messageSchema } from "./messages.ts";
import type { Message } from "./messages.ts";

/** Bytes of the length that precedes each frame's payload. */
export const FRAME_HEADER_BYTES = 4;
/** Maximum payload: the largest body that settings allow, and its headers. */
export const MAXIMUM_FRAME_BYTES = 32 * 1024 * 1024;

const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
  // The library's types don't declare `keyMap` as a field-to-number record.
  ...({ keyMap: KEY_MAP } as object),
});

/** Returns one frame that contains all of `messages`. */
export function encodeFrame(messages: readonly object[]): Uint8Array {
  const payload = codec.encode(messages);
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.byteLength);
  frame.writeUInt32BE(payload.byteLength, 0);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/** Schema by which the messages of a link are validated. */
export type MessageSchema<Validated> = v.GenericSchema<unknown, Validated>;

/** Splits a byte stream into frames, and frames into validated messages. */
export class FrameDecoder<Validated = Message> {
  readonly #peer: string;
  readonly #maximumFrameBytes: number;
  readonly #schema: MessageSchema<Validated>;
  #chunks: Uint8Array[] = [];
  #bufferedBytes = 0;
  #payloadBytes: number | undefined;

  constructor(
    options: {
      peer: string;
      maximumFrameBytes?: number;
      /** By default that of the messages between entry and sidecar. */
      schema?: MessageSchema<Validated>;
    },
  ) {
    this.#peer = options.peer;
    this.#schema = options.schema ??
      (messageSchema as unknown as MessageSchema<Validated>);
    this.#maximumFrameBytes = options.maximumFrameBytes ?? MAXIMUM_FRAME_BYTES;
  }

  /**
   * Returns the messages that `bytes` completes. Throws {@link LinkError} on a
   * frame that is too large or malformed; the rest of the stream can't be
   * decoded after that, and the link must be closed.
   */
  push(bytes: Uint8Array): Validated[] {
    this.#chunks.push(bytes);
    this.#bufferedBytes += bytes.byteLength;
    const messages: Validated[] = [];
    for (;;) {
      const payload = this.#nextPayload();
      if (payload === undefined) return messages;
      messages.push(...this.#decode(payload));
    }
  }

  #nextPayload(): Uint8Array | undefined {
    this.#payloadBytes ??= this.#readLength();
    if (
      this.#payloadBytes === undefined ||
      this.#bufferedBytes < this.#payloadBytes
    ) {
      return undefined;
    }
    const payload = this.#consume(this.#payloadBytes);
    this.#payloadBytes = undefined;
    return payload;
  }

  #readLength(): number | undefined {
    if (this.#bufferedBytes < FRAME_HEADER_BYTES) return undefined;
    const header = this.#consume(FRAME_HEADER_BYTES);
    const length = Buffer.from(header).readUInt32BE(0);
    // Without this limit, four bytes from a peer could allocate 4 GiB.
    if (length > this.#maximumFrameBytes) {
      throw this.#createError("frame_too_large", `${length} bytes announced`);
    }
    return length;
  }

  #consume(count: number): Uint8Array {
    const whole = this.#chunks.length === 1
      ? this.#chunks[0]!
      : Buffer.concat(this.#chunks);
    const rest = whole.subarray(count);
    this.#chunks = rest.byteLength > 0 ? [rest] : [];
    this.#bufferedBytes -= count;
    return whole.subarray(0, count);
  }

  #decode(payload: Uint8Array): Validated[] {
    let decoded: unknown;
    try {
      decoded = codec.decode(payload);
    } catch (error) {
      throw this.#createError("malformed_frame", String(error));
    }
    if (!Array.isArray(decoded)) {
      throw this.#createError("malformed_frame", "not an array of messages");
    }
    return decoded.map((message) => this.#validate(message));
  }

  #validate(message: unknown): Validated {
    const parsed = v.safeParse(this.#schema, message);
    if (parsed.success) return parsed.output;
    const issue = parsed.issues[0];
    const path = v.getDotPath(issue) ?? "message";
    throw this.#createError("unknown_message", `${path}: ${issue.message}`);
  }

  #createError(
    reason: "frame_too_large" | "malformed_frame" | "unknown_message",
    detail: string,
  ): LinkError {
    return new LinkError({ step: "decode", peer: this.#peer, reason, detail });
  }
}
