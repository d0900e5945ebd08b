/** How the clients of a crowd send the bodies of their requests. @module */

/** Bytes of a piece of a body, and of a large chunk. */
const PIECE_BYTES = 16 * 1024;
const LARGE_CHUNK_BYTES = 256 * 1024;
const CHUNK_END = Buffer.from("\r\n");
const LAST_CHUNK = Buffer.from("0\r\n\r\n");

/** What a client sends after the other headers of its request. */
export abstract class BodyShape {
  abstract readonly name: string;

  /** The header that states the length of the body. */
  abstract readonly lengthHeader: string;

  /**
   * The bytes of the body in the order in which they are sent. `complete`: all
   * of them; otherwise the last ones are missing.
   */
  abstract pieces(complete: boolean): Iterable<Buffer>;
}

/** The whole body is passed to the system in one piece. */
export class WholeBody extends BodyShape {
  override readonly name = "whole bodies";
  override readonly lengthHeader: string;
  readonly #body: Buffer;

  constructor(body: Buffer) {
    super();
    this.#body = body;
    this.lengthHeader = contentLength(body.length);
  }

  override *pieces(complete: boolean): Iterable<Buffer> {
    yield complete ? this.#body : withoutLastByte(this.#body);
  }
}

/** The body is sent in pieces, with a stated length. */
export class BodyInPieces extends BodyShape {
  override readonly name = "bodies piece by piece";
  override readonly lengthHeader: string;
  readonly #body: Buffer;

  constructor(body: Buffer) {
    super();
    this.#body = body;
    this.lengthHeader = contentLength(body.length);
  }

  override pieces(complete: boolean): Iterable<Buffer> {
    const body = complete ? this.#body : withoutLastByte(this.#body);
    return split(body, PIECE_BYTES);
  }
}

/** The body is sent in chunks, which are grouped for sending. */
export class ChunkedBody extends BodyShape {
  override readonly name: string;
  override readonly lengthHeader = "transfer-encoding: chunked";
  readonly #encoded: Buffer;

  constructor(name: string, body: Buffer, chunkBytes: number) {
    super();
    this.name = name;
    this.#encoded = Buffer.concat(
      [...split(body, chunkBytes)].flatMap((chunk) => [
        Buffer.from(`${chunk.length.toString(16)}\r\n`),
        chunk,
        CHUNK_END,
      ]),
    );
  }

  override *pieces(complete: boolean): Iterable<Buffer> {
    yield* split(this.#encoded, LARGE_CHUNK_BYTES);
    if (complete) yield LAST_CHUNK;
  }
}

/** A body far beyond the limit; `isAnnounced`: its length is stated. */
export class TooLargeBody extends BodyShape {
  override readonly name: string;
  override readonly lengthHeader: string;
  readonly #isAnnounced: boolean;
  readonly #bytes: number;

  constructor(bytes: number, isAnnounced: boolean) {
    super();
    this.name = `bodies far over the limit, ${
      isAnnounced ? "announced" : "just sent"
    }`;
    this.lengthHeader = isAnnounced
      ? contentLength(bytes)
      : "transfer-encoding: chunked";
    this.#isAnnounced = isAnnounced;
    this.#bytes = bytes;
  }

  override *pieces(complete: boolean): Iterable<Buffer> {
    const piece = Buffer.alloc(LARGE_CHUNK_BYTES, " ");
    const head = Buffer.from(`${LARGE_CHUNK_BYTES.toString(16)}\r\n`);
    const chunk = Buffer.concat([head, piece, CHUNK_END]);
    for (let sent = 0; sent < this.#bytes; sent += LARGE_CHUNK_BYTES) {
      yield this.#isAnnounced ? piece : chunk;
    }
    if (complete && !this.#isAnnounced) yield LAST_CHUNK;
  }
}

/** The kinds of bodies that a crowd sends; sizes in bytes. */
export type CrowdSizes = {
  /** The limit of a body. */
  limit: number;
  /** A body that is sent in chunks of one byte. */
  inSmallChunks: number;
  /** A body far beyond the limit. */
  tooLarge: number;
};

/** All shapes of bodies; `body` creates one of a size. */
export function bodyShapes(
  { limit, inSmallChunks, tooLarge }: CrowdSizes,
  body: (bytes: number) => Buffer,
): BodyShape[] {
  return [
    new WholeBody(body(limit)),
    new BodyInPieces(body(limit)),
    new ChunkedBody("large chunks", body(limit), LARGE_CHUNK_BYTES),
    new ChunkedBody("chunks of one byte", body(inSmallChunks), 1),
    new TooLargeBody(tooLarge, true),
    new TooLargeBody(tooLarge, false),
  ];
}

function contentLength(bytes: number): string {
  return `content-length: ${bytes}`;
}

function withoutLastByte(body: Buffer): Buffer {
  return body.subarray(0, body.length - 1);
}

function* split(bytes: Buffer, size: number): Iterable<Buffer> {
  for (let start = 0; start < bytes.length; start += size) {
    yield bytes.subarray(start, start + size);
  }
}
