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

t.test("without a goal for the first token the caller's deadline applies", (t) => {
  t.equal(new SidecarEstimates("model").timeAllowed(reserve), 60_000);
  t.end();
});

t.test("the allowed time is shorter if the first token would miss its goal", (t) => {
  // Otherwise an overloaded engine prefills for callers that have given up.
  const estimates = new SidecarEstimates("model");
  const allowed = estimates.timeAllowed({
    ...reserve,
    firstTokenRemaining: 10,
  });
  t.ok(allowed < estimates.expectedTime(reserve.cost));
  t.end();
});
