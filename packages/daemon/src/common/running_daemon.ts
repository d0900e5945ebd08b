/** The interface of a running daemon of either role. @module */

/** A running daemon: the ports it listens on, and how to stop it. */
export type RunningDaemon = {
  ports: { http?: number; status: number; protocol: number };
  /** Shuts down gracefully; resolves once the daemon has stopped. */
  stop: () => Promise<void>;
};
