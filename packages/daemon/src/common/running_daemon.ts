/** A started daemon of either role. @module */

/** Ports as they were got, and the way to stop. */
export type RunningDaemon = {
  ports: { http?: number; status: number; protocol: number };
  /** Graceful shutdown: resolves once nothing runs any more. */
  stop: () => Promise<void>;
};
