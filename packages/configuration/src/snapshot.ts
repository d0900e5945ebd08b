/** A published configuration as a process holds it. @module */
import type { ConfigurationObjects } from "./objects.ts";

/** A past publish, kept so that a conflict can report who changed what. */
export type Publication = {
  revision: number;
  /**
   * Chosen by the publisher. Tells whether a write whose response was lost took
   * effect, or another publish came first.
   */
  publishId: string;
  publishedBy: string;
  /** Milliseconds since 1970, by the publisher's clock. */
  publishedAt: number;
  /** Identities of the objects that were added, removed or changed. */
  changes: string[];
};

/** The whole configuration at one revision. */
export type Snapshot = {
  revision: number;
  publishId: string;
  publishedBy: string;
  /** Milliseconds since 1970, by the publisher's clock. */
  publishedAt: number;
  /** The latest publications; the one of this snapshot is the last. */
  history: Publication[];
  objects: ConfigurationObjects;
  /** The encoded manifest as stored, for sending to peers. */
  text: string;
};

/**
 * Returns the snapshot to keep in force: `offered` only if its revision is
 * higher. If the key-value service was restored to an older state, or a peer's
 * message arrives late, the snapshot received last may be one that operators
 * have replaced already.
 */
export function newerSnapshot(
  current: Snapshot | undefined,
  offered: Snapshot,
): Snapshot {
  return current !== undefined && current.revision >= offered.revision
    ? current
    : offered;
}
