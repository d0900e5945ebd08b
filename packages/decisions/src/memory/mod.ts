/** The memory that an entry holds for callers and servers. @module */
export { HeadMemory } from "./head_memory.ts";
export {
  bodyCapacity,
  IncomingBodies,
  isLargeBody,
} from "./incoming_bodies.ts";
export type { IncomingBody } from "./incoming_bodies.ts";
export { MemoryBudget, memoryBudgetBytes } from "./memory_budget.ts";
export type { MemoryUse, UnreadResponse } from "./memory_budget.ts";
