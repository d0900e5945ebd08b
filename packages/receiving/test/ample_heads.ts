import { HeadMemory, MemoryBudget } from "@sycamorepulley/decisions";
import { RequestMemory } from "@sycamorepulley/receiving";
import type { HeadOptions } from "@sycamorepulley/receiving";

const BUDGET_BYTES = 100_000_000;

/** Options for reading heads, with much memory. */
export function ampleHeads(): Omit<HeadOptions, "onConnection"> {
  const requests = new RequestMemory({
    budget: new MemoryBudget(BUDGET_BYTES),
    clock: () => performance.now(),
  });
  return {
    memory: new HeadMemory(BUDGET_BYTES),
    openBytes: () => requests.openBody(),
    retryAfter: () => 500,
    onRefused: () => {},
  };
}
