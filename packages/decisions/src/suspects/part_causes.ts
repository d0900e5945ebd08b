/**
 * Which parts of a prompt the crashes under it prove to be the cause.
 * @module
 */
import type { CrashHistory, QuarantineRule } from "./quarantine_rule.ts";

/** Crashes from which on a suspect must not run beside another one. */
export const ISOLATED_FROM = 2;
/**
 * Crashes by which a prompt part leads one that has crashed servers only in the
 * same request, so that the other one is not the cause.
 */
const CLEAR_LEAD = 3;
/** Maximum number of prompt parts that are quarantined together. */
const MAXIMUM_SET = 3;

/** A suspect part of a prompt, and the crashes under it. */
export type SuspectPart = CrashHistory & { part: string };

/**
 * Returns the parts of a request to quarantine after a crash in which it was the
 * only suspect; none if the crashes don't prove a cause. Several parts may be
 * the cause if the crashes don't distinguish them; they are quarantined only
 * together, so that a request with one of them and without the others shows
 * which it is. `requestCrashes`: crashes under the request itself.
 */
export function partCauses(
  parts: readonly SuspectPart[],
  requestCrashes: number,
  rule: QuarantineRule,
): string[] {
  const isProven = parts.some((part) =>
    rule.isPartProven(part, part.crashes - requestCrashes)
  );
  if (!isProven) return [];
  const mostCrashes = Math.max(...parts.map(({ crashes }) => crashes));
  const mayBeCause = ({ crashes }: SuspectPart): boolean =>
    crashes >= ISOLATED_FROM &&
    (crashes > requestCrashes || mostCrashes - crashes < CLEAR_LEAD);
  return parts.filter(mayBeCause)
    .sort((one, other) => other.crashes - one.crashes)
    .slice(0, MAXIMUM_SET)
    .map(({ part }) => part);
}
