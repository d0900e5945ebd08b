/** A delay that can be ended early. @module */

/** Resolves after `duration` milliseconds, or once a signal is aborted. */
export function pause(
  duration: number,
  ...signals: readonly AbortSignal[]
): Promise<void> {
  if (signals.some(({ aborted }) => aborted)) return Promise.resolve();
  return new Promise((resolve) => {
    const end = () => {
      clearTimeout(timer);
      for (const signal of signals) signal.removeEventListener("abort", end);
      resolve();
    };
    const timer = setTimeout(end, duration);
    for (const signal of signals) signal.addEventListener("abort", end);
  });
}
