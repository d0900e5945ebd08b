/**
 * Converts reports of servers on their load to and from the field `load` of
 * messages.
 * @module
 */
import { figuresOf, loadOf } from "@sycamorepulley/decisions";
import type { LoadReport, ServerLoad } from "@sycamorepulley/decisions";

/** A report that this entry received with a response. */
export type ReceivedLoad = {
  load: ServerLoad;
  /** Milliseconds of this entry's clock. */
  observedAt: number;
};

/** Returns the fields to add to a message; none without a report. */
export function encodeLoad(
  received: ReceivedLoad | undefined,
  now: number,
): { load?: number[] } {
  if (received === undefined) return {};
  const age = Math.max(0, Math.round(now - received.observedAt));
  return { load: [age, ...figuresOf(received.load)] };
}

/** Restores the report that the entry `by` sent, if there is one. */
export function decodeLoad(
  { load: figures }: { load?: readonly number[] | undefined },
  by: string,
  now: number,
): LoadReport | undefined {
  if (figures === undefined) return undefined;
  const [age = 0, ...rest] = figures;
  const load = loadOf(rest);
  return load && { load, observedAt: now - age, by };
}
