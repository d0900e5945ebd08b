import { ampleHeads } from "../../receiving/test/ample_heads.ts";
import type { FrontendOptions } from "../src/front/http_frontend.ts";

/** Options of a front end with much memory, and `changes` to them. */
export function frontendOptions(
  changes: Partial<FrontendOptions> = {},
): FrontendOptions {
  return {
    handle: () => {},
    refuse: (_request, response) => response.writeHead(503).end(),
    counters: { accepted: () => {}, unread: () => {}, replaced: () => {} },
    heads: ampleHeads(),
    ...changes,
  };
}
