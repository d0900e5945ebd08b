/** Deployment for drafting quotes: 6 engines in four data centres. @module */
import type { RequestClass } from "../model/request.ts";
import { createEngineSettings, type Deployment } from "./deployment.ts";

const SECOND = 1000;

/** A quote takes about a hundred times the work of an identification. */
const quotes: RequestClass = {
  name: "restoration quote",
  tier: "quotes",
  tierRank: 0,
  share: 0.008,
  promptTokens: 5000,
  outputTokens: 2000,
  spread: 0.3,
  prefixTokens: 3000,
  prefixes: 30,
  firstTokenGoal: 10 * SECOND,
  deadline: 240 * SECOND,
};

const identifications: RequestClass = {
  name: "identification",
  tier: "identifications",
  tierRank: 1,
  share: 0.432,
  promptTokens: 900,
  outputTokens: 15,
  spread: 0.3,
  prefixTokens: 600,
  prefixes: 60,
  firstTokenGoal: 1.3 * SECOND,
  deadline: 5 * SECOND,
};

const estimates: RequestClass = {
  name: "touch-up estimate",
  tier: "estimates",
  tierRank: 2,
  share: 0.18,
  promptTokens: 1800,
  outputTokens: 150,
  spread: 0.5,
  prefixTokens: 1000,
  prefixes: 60,
  firstTokenGoal: 3 * SECOND,
  deadline: 20 * SECOND,
};

const noteTags: RequestClass = {
  name: "note tags",
  tier: "note tags",
  tierRank: 3,
  share: 0.38,
  promptTokens: 900,
  outputTokens: 50,
  spread: 0.4,
  prefixTokens: 500,
  prefixes: 10,
  firstTokenGoal: 10 * SECOND,
  deadline: 30 * SECOND,
};

/** The deployment that the command line names `collective`. */
export const collective: Deployment = {
  name: "collective",
  engines: createEngineSettings({
    prefix: "quotes",
    speeds: [0.4, 0.7, 1, 1.3, 1.8, 2.5],
    dataCentres: 4,
  }),
  classes: [quotes, identifications, estimates, noteTags],
  longClass: quotes,
  organisations: [
    { name: "perth-museum", share: 0.36 },
    { name: "auction-house", share: 0.3 },
    { name: "swan-valley-guild", share: 0.18 },
    { name: "fremantle-dealers", share: 0.1 },
    { name: "private-owners", share: 0.06 },
  ],
  entries: 3,
  topTierRanks: [0, 1],
  horizon: 240 * SECOND,
  warmUp: 40 * SECOND,
  minDelay: 0.5,
  maxDelay: 2,
};
