/**
 * State as it is sent to peers: compressed text, divided into parts.
 * @module
 */
import { promisify } from "node:util";
import { constants, gunzip, gzip } from "node:zlib";
import type { StatePosition } from "@sycamorepulley/decisions";
import { Result } from "true-myth/result";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Bytes of a part; a heartbeat waits for at most one part to be sent. */
const PART_BYTES = 32 * 1024;
/** Maximum decompressed size of a state from a peer, in bytes. */
const MAXIMUM_STATE_BYTES = 16 * 1024 * 1024;
/** States in the cache: a peer may still read one that is not the newest. */
const CACHED_STATES = 4;

/** One state, compressed. */
export type StateDocument = { position: StatePosition; bytes: Uint8Array };

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
  readonly #cache = new Map<string, Promise<StateDocument>>();

  /** Returns the document of `position` if cached, otherwise of `newest`. */
  async get(
    position: StatePosition,
    newest: { position: StatePosition; text: () => string },
  ): Promise<StateDocument> {
    const newestKey = cacheKey(newest.position);
    const cached = this.#cache.get(cacheKey(position)) ??
      this.#cache.get(newestKey);
    if (cached !== undefined) return await cached;
    const document = compressDocument(newest.position, newest.text());
    this.#cache.set(newestKey, document);
    const [oldest] = this.#cache.keys();
    if (this.#cache.size > CACHED_STATES) this.#cache.delete(oldest!);
    return await document;
  }
}

/** A state that has a version is the same wherever it was written. */
function cacheKey({ era, revision, version }: StatePosition): string {
  return version === undefined ? `${era}/${revision}` : `version ${version}`;
}

async function compressDocument(
  position: StatePosition,
  text: string,
): Promise<StateDocument> {
  const bytes = await compress(text, { level: constants.Z_BEST_SPEED });
  return { position, bytes };
}
