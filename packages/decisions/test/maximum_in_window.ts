/** Tokens that were granted at a moment, in milliseconds. */
export type Granted = { at: number; charge: number };

/** Most tokens granted in any span of `window` milliseconds. */
export function largestWindow(
  grants: readonly Granted[],
  window: number,
): number {
  const sums = grants.map(({ at: from }) =>
    grants.filter(({ at }) => at >= from && at < from + window)
      .reduce((sum, { charge }) => sum + charge, 0)
  );
  return Math.max(0, ...sums);
}
