/** Records, evidence and random numbers for the tests of moves. @module */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { MoveInputs, MoveRecord, RouteEvidence } from "../src/mod.ts";

export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

export function evidence(
  route: string,
  from: [ended: number, failed: number, slow: number],
  to: [ended: number, failed: number, slow: number],
): RouteEvidence {
  const counts = ([ended, failed, slow]: [number, number, number]) => ({
    ended,
    failed,
    slow,
  });
  return { route, from: counts(from), to: counts(to) };
}

export const record: MoveRecord = {
  move: "assistant-2",
  service: "assistant",
  from: "v1",
  to: "v2",
  deadline: 620_000,
  trialShare: 0.02,
  trialRequests: 200,
  phase: "pending",
  share: 0,
  step: 0,
  since: 0,
  fencing: 1,
  endedBefore: 0,
  evidence: [],
};

export function inputsWith(ended: number, capacityShare = 1): MoveInputs {
  return {
    verdict: { kind: "undecided" },
    evidence: [evidence("chat", [1000, 0, 0], [ended, 0, 0])],
    capacityShare,
  };
}
