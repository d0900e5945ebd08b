/** The memory that a process may use. @module */
import { totalmem } from "node:os";

/** Bytes of a megabyte of the memory of a process. */
const MEGABYTE = 1_000_000;

/** Bytes of memory; those of the machine if the settings state none. */
export function processMemory(memoryMegabytes: number | undefined): number {
  return memoryMegabytes === undefined
    ? totalmem()
    : memoryMegabytes * MEGABYTE;
}
