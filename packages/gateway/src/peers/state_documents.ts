/** State as peers are sent it: compressed text, in parts. @module */
import { promisify } from "node:util";
import { constants, gunzip, gzip } from "node:zlib";
import { Result } from "true-myth/result";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Bytes of one part: a heartbeat behind it waits for no longer than it takes. */
const PART_BYTES = 32 * 1024;
/** Largest state that is taken from a peer, in bytes. */
const LARGEST_STATE = 16 * 1024 * 1024;
/** Documents that are kept: a peer may still read one when the next is there. */
const MOST_KEPT = 4;

/** One revision, compressed. */
export type StateDocument = { revision: number; bytes: Uint8Array };

/** A part of a document from `offset` on. */
export function partOf(document: StateDocument, offset: number): Uint8Array {
  return document.bytes.subarray(offset, offset + PART_BYTES);
}

/** The text of a whole document; the error says why it is unreadable. */
export async function textOf(
  parts: readonly Uint8Array[],
): Promise<Result<string, string>> {
  try {
    const options = { maxOutputLength: LARGEST_STATE };
    const text = await decompress(Buffer.concat(parts), options);
    return Result.ok(text.toString("utf8"));
  } catch (error) {
    return Result.err(String(error));
  }
}

/** Documents of one kind of state; each is compressed once. */
export class StateDocuments {
  readonly #kept = new Map<number, Promise<StateDocument>>();

  /** The document of `revision` if it is kept, else that of the newest `text`. */
  async get(
    revision: number,
    newest: { revision: number; text: () => string },
  ): Promise<StateDocument> {
    const kept = this.#kept.get(revision) ?? this.#kept.get(newest.revision);
    if (kept !== undefined) return await kept;
    const document = compressed(newest.revision, newest.text());
    this.#kept.set(newest.revision, document);
    const [oldest] = this.#kept.keys();
    if (this.#kept.size > MOST_KEPT) this.#kept.delete(oldest!);
    return await document;
  }
}

async function compressed(
  revision: number,
  text: string,
): Promise<StateDocument> {
  const bytes = await compress(text, { level: constants.Z_BEST_SPEED });
  return { revision, bytes };
}
