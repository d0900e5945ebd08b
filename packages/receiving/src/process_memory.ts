/** The memory that a process may use. @module */
import { HeadMemory } from "@sycamorepulley/decisions";
import { totalmem } from "node:os";
import { getHeapStatistics } from "node:v8";

/** Bytes of a megabyte of the memory of a process. */
const MEGABYTE = 1_000_000;

/** Bytes of memory; those of the machine if the settings state none. */
export function processMemory(memoryMegabytes: number | undefined): number {
  return memoryMegabytes === undefined
    ? totalmem()
    : memoryMegabytes * MEGABYTE;
}

/** The memory for heads of requests, by the heap that this process may use. */
export function headMemory(memoryMegabytes: number | undefined): HeadMemory {
  const { heap_size_limit: heap } = getHeapStatistics();
  return new HeadMemory(Math.min(heap, processMemory(memoryMegabytes)));
}
