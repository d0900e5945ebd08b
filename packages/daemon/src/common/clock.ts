/**
 * The process's monotonic and wall clocks. The decisions package reads no
 * clock; it gets these times as arguments.
 * @module
 */
import { performance } from "node:perf_hooks";

/**
 * Returns the monotonic time in milliseconds, which never jumps; for durations,
 * leases and deadlines within this process.
 */
export function monotonicNow(): number {
  return performance.now();
}

/**
 * Returns the wall-clock time in milliseconds since the Unix epoch, for times
 * that people and other processes read.
 */
export function wallNow(): number {
  return Date.now();
}
