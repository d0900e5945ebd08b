/** Deployment of a delivery assistant: 13 engines in three data centres. @module */
import type { RequestClass } from "../model/request.ts";
import { createEngineSettings, type Deployment } from "./deployment.ts";

const SECOND = 1000;

const riders: RequestClass = {
  name: "route question",
  tier: "riders",
  tierRank: 0,
  share: 0.14,
  promptTokens: 1100,
  outputTokens: 80,
  spread: 0.4,
  prefixTokens: 700,
  prefixes: 60,
  firstTokenGoal: 1.3 * SECOND,
  deadline: 8 * SECOND,
};

const planReplies: RequestClass = {
  name: "plan reply",
  tier: "plan replies",
  tierRank: 1,
  share: 0.2,
  promptTokens: 1400,
  outputTokens: 120,
  spread: 0.4,
  prefixTokens: 1000,
  prefixes: 80,
  firstTokenGoal: 1.3 * SECOND,
  deadline: 12 * SECOND,
};

const support: RequestClass = {
  name: "support answer",
  tier: "support",
  tierRank: 2,
  share: 0.22,
  promptTokens: 1800,
  outputTokens: 180,
  spread: 0.6,
  prefixTokens: 1200,
  prefixes: 80,
  firstTokenGoal: 2.5 * SECOND,
  deadline: 15 * SECOND,
};

const status: RequestClass = {
  name: "order status",
  tier: "order status",
  tierRank: 3,
  share: 0.22,
  promptTokens: 700,
  outputTokens: 50,
  spread: 0.3,
  prefixTokens: 500,
  prefixes: 30,
  firstTokenGoal: 3 * SECOND,
  deadline: 8 * SECOND,
};

const tags: RequestClass = {
  name: "review tags",
  tier: "review tags",
  tierRank: 4,
  share: 0.22,
  promptTokens: 900,
  outputTokens: 40,
  spread: 0.4,
  prefixTokens: 600,
  prefixes: 10,
  firstTokenGoal: 10 * SECOND,
  deadline: 20 * SECOND,
};

/** Summary of a café's tickets of one year: long work among short requests. */
const caseSummary: RequestClass = {
  name: "case summary",
  tier: "support",
  tierRank: 2,
  share: 0,
  promptTokens: 4000,
  outputTokens: 1200,
  spread: 0.3,
  prefixTokens: 1200,
  prefixes: 20,
  firstTokenGoal: 10 * SECOND,
  deadline: 120 * SECOND,
};

/** The deployment that the command line names `zlati`. */
export const zlati: Deployment = {
  name: "zlati",
  engines: createEngineSettings({
    prefix: "assistant",
    speeds: [0.4, 0.5, 0.6, 0.7, 0.8, 1, 1, 1.2, 1.4, 1.6, 1.8, 2.2, 2.5],
    dataCentres: 3,
  }),
  classes: [riders, planReplies, support, status, tags],
  longClass: caseSummary,
  organisations: [
    { name: "household-plans", share: 0.34 },
    { name: "cafe-chain", share: 0.3 },
    { name: "own-riders", share: 0.2 },
    { name: "maribor-shop", share: 0.1 },
    { name: "kranj-shop", share: 0.06 },
  ],
  entries: 3,
  topTierRanks: [0, 1],
  horizon: 90 * SECOND,
  warmUp: 15 * SECOND,
  minDelay: 0.5,
  maxDelay: 1,
};
