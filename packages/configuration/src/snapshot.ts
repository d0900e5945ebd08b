/** A published set as a process holds it. @module */
import type { ConfigurationObjects } from "./objects.ts";

/** One publish, kept so that a conflict can say who changed what. */
export type Publication = {
  revision: number;
  /** Chosen by the publisher; tells a lost answer from a lost race. */
  publishId: string;
  publishedBy: string;
  /** Milliseconds since 1970, by the publisher's clock. */
  publishedAt: number;
  /** Identities of the objects that it added, removed or changed. */
  changes: string[];
};

/** A whole set with its revision. */
export type Snapshot = {
  revision: number;
  publishId: string;
  publishedBy: string;
  /** Milliseconds since 1970, by the publisher's clock. */
  publishedAt: number;
  /** The latest publications, this one last. */
  history: Publication[];
  objects: ConfigurationObjects;
  /** The manifest as the store holds it, to be handed on to peers. */
  text: string;
};

/**
 * The snapshot to have in force: only a higher revision replaces the current
 * one. When the platform's service is restored to an older state, or a peer
 * answers late, a process that followed the latest word would go back to a set
 * that operators had replaced.
 */
export function adopt(
  current: Snapshot | undefined,
  offered: Snapshot,
): Snapshot {
  return current !== undefined && current.revision >= offered.revision
    ? current
    : offered;
}
