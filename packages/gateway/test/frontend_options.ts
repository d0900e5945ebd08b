import { HeadMemory, MemoryBudget } from "@sycamorepulley/decisions";
import { RequestMemory } from "@sycamorepulley/receiving";
import type { FrontendOptions } from "../src/front/http_frontend.ts";

const BUDGET_BYTES = 100_000_000;

/** Options of a front end with much memory, and `changes` to them. */
export function frontendOptions(
  changes: Partial<FrontendOptions> = {},
): FrontendOptions {
  const requests = new RequestMemory({
    budget: new MemoryBudget(BUDGET_BYTES),
    clock: () => performance.now(),
  });
  return {
    handle: () => {},
    refuse: (_request, response) => response.writeHead(503).end(),
    counters: { accepted: () => {}, unread: () => {}, replaced: () => {} },
    heads: {
      memory: new HeadMemory(BUDGET_BYTES),
      openBytes: () => requests.openBody(),
      retryAfter: () => 500,
      onRefused: () => {},
    },
    ...changes,
  };
}
