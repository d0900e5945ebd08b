import type { ReserveMessage } from "@sycamorepulley/protocol";
import t from "tap";
import { SidecarEstimates } from "../src/sidecar/sidecar_estimates.ts";

const reserve: ReserveMessage = {
  type: "reserve",
  reservation: 1,
  service: "assistant",
  tierRank: 0,
  organisation: "one",
  route: "chat/completions",
  cost: { promptTokens: 100, outputTokens: 50 },
  remaining: 60_000,
};

t.test("without a goal the caller's deadline holds", (t) => {
  t.equal(new SidecarEstimates("model").timeAllowed(reserve), 60_000);
  t.end();
});

t.test("a first token too late to be good is not waited for", (t) => {
  // Under overload an engine prefills prompts whose first tokens come after
  // the caller has turned away: the work is done and nobody gains by it.
  const estimates = new SidecarEstimates("model");
  const allowed = estimates.timeAllowed({
    ...reserve,
    firstTokenRemaining: 10,
  });
  t.ok(allowed < estimates.expectedTime(reserve.cost));
  t.end();
});
