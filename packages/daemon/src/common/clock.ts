/** The two clocks; decisions get their time from here as an argument. @module */
import { performance } from "node:perf_hooks";

/** Milliseconds that never jump; for durations, leases and deadlines. */
export function monotonicNow(): number {
  return performance.now();
}

/** Milliseconds since the epoch; for what people and other processes read. */
export function wallNow(): number {
  return Date.now();
}
