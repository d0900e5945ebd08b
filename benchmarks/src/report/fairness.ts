/** Fairness between organisations within the tiers that could not be served whole. @module */
import { leastWork } from "../model/engine_settings.ts";
import { isGood, type Outcome } from "../model/outcome.ts";

/** A tier served better than this was not short of capacity. */
const SERVED_WHOLE = 0.95;
/** A tier served worse than this says nothing about organisations. */
const HARDLY_SERVED = 0.03;

type Account = { demand: number; served: number };

/** See {@link fairness}. */
export type Fairness = {
  /** Jain index of served work over the max-min fair share; 1 is fair. */
  jain: number;
  /** Lowest served work over fair share of any organisation. */
  worst: number;
};

/** Averages over the tiers that were cut; `undefined` when none was. */
export function fairness(outcomes: readonly Outcome[]): Fairness | undefined {
  const byTier = new Map<string, Map<string, Account>>();
  for (const outcome of outcomes) {
    const { organisation, requestClass } = outcome.request;
    const tier = byTier.get(requestClass.tier) ?? new Map<string, Account>();
    byTier.set(requestClass.tier, tier);
    const account = tier.get(organisation) ?? { demand: 0, served: 0 };
    tier.set(organisation, account);
    const work = leastWork(outcome.request);
    account.demand += work;
    if (isGood(outcome)) account.served += work;
  }
  const cut = [...byTier.values()].map((tier) => [...tier.values()])
    .filter(isCut)
    .map(tierFairness);
  if (cut.length === 0) return undefined;
  const sum = cut.reduce((total, one) => total + one.jain, 0);
  return {
    jain: sum / cut.length,
    worst: Math.min(...cut.map((one) => one.worst)),
  };
}

function isCut(accounts: readonly Account[]): boolean {
  const demand = accounts.reduce((sum, one) => sum + one.demand, 0);
  const served = accounts.reduce((sum, one) => sum + one.served, 0);
  return served < SERVED_WHOLE * demand && served > HARDLY_SERVED * demand;
}

function tierFairness(accounts: readonly Account[]): Fairness {
  const shares = fairShares(accounts);
  const ratios = accounts.map((one, index) => one.served / shares[index]!);
  const sum = ratios.reduce((total, one) => total + one, 0);
  const squares = ratios.reduce((total, one) => total + one * one, 0);
  return {
    jain: sum * sum / (ratios.length * squares),
    worst: Math.min(...ratios),
  };
}

/** Max-min fair division of what was served: small demands are met first. */
function fairShares(accounts: readonly Account[]): number[] {
  let left = accounts.reduce((sum, one) => sum + one.served, 0);
  const shares = accounts.map(() => 0);
  const order = [...accounts.keys()].sort((a, b) =>
    accounts[a]!.demand - accounts[b]!.demand
  );
  for (const [position, index] of order.entries()) {
    const even = left / (order.length - position);
    shares[index] = Math.min(accounts[index]!.demand, even);
    left -= shares[index]!;
  }
  return shares;
}
