/**
 * Reads the processor time and memory of a process from Linux's /proc.
 * @module
 */
import { readFile } from "node:fs/promises";

/** Clock ticks per second in `/proc/<id>/stat`; always 100 on Linux. */
const TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_TICK = 1000 / TICKS_PER_SECOND;
/** Indexes of fields after the command's closing bracket, counted from 0. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Returns the processor time used so far, in steps of 10 milliseconds. */
export async function processorTime(processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TIME_FIELD]) +
    Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * MILLISECONDS_PER_TICK;
}

/** Returns the resident memory in MB (2^20 bytes). */
export async function residentMemory(processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/status`, "utf8");
  const kilobytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1]);
  return kilobytes / 1024;
}
