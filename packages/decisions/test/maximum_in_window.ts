/** Tokens that were granted at a time in milliseconds. */
export type Grant = { at: number; charge: number };

/**
 * Returns the maximum of tokens granted in any window of `window` milliseconds.
 */
export function maximumInWindow(
  grants: readonly Grant[],
  window: number,
): number {
  const sums = grants.map(({ at: from }) =>
    grants.filter(({ at }) => at >= from && at < from + window)
      .reduce((sum, { charge }) => sum + charge, 0)
  );
  return Math.max(0, ...sums);
}
