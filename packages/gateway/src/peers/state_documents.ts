/**
 * State as it is sent to peers: compressed text, divided into parts.
 * @module
 */
import { promisify } from "node:util";
import { constants, gunzip, gzip } from "node:zlib";
import { Result } from "true-myth/result";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Bytes of a part; a heartbeat waits for at most one part to be sent. */
const PART_BYTES = 32 * 1024;
/** Maximum decompressed size of a state from a peer, in bytes. */
const MAXIMUM_STATE_BYTES = 16 * 1024 * 1024;
/** Revisions in the cache: a peer may still read one that is not the newest. */
const CACHED_REVISIONS = 4;

/** One revision, compressed. */
export type StateDocument = { revision: number; bytes: Uint8Array };

/** A part of a document from `offset` on. */
export function documentPart(
  document: StateDocument,
  offset: number,
): Uint8Array {
  return document.bytes.subarray(offset, offset + PART_BYTES);
}

/** Returns the text of a complete document, or why it can't be decompressed. */
export async function decompressDocument(
  parts: readonly Uint8Array[],
): Promise<Result<string, string>> {
  try {
    const options = { maxOutputLength: MAXIMUM_STATE_BYTES };
    const text = await decompress(Buffer.concat(parts), options);
    return Result.ok(text.toString("utf8"));
  } catch (error) {
    return Result.err(String(error));
  }
}

/** Cache of the documents of one kind of state; each is compressed once. */
export class StateDocuments {
  readonly #cache = new Map<number, Promise<StateDocument>>();

  /** Returns the document of `revision` if cached, otherwise of `newest`. */
  async get(
    revision: number,
    newest: { revision: number; text: () => string },
  ): Promise<StateDocument> {
    const cached = this.#cache.get(revision) ??
      this.#cache.get(newest.revision);
    if (cached !== undefined) return await cached;
    const document = compressDocument(newest.revision, newest.text());
    this.#cache.set(newest.revision, document);
    const [oldest] = this.#cache.keys();
    if (this.#cache.size > CACHED_REVISIONS) this.#cache.delete(oldest!);
    return await document;
  }
}

async function compressDocument(
  revision: number,
  text: string,
): Promise<StateDocument> {
  const bytes = await compress(text, { level: constants.Z_BEST_SPEED });
  return { revision, bytes };
}
