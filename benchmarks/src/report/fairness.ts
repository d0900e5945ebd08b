/**
 * Measures fairness between organisations within each tier that was served in
 * part. Work is the minimum work of the requests, in milliseconds at speed 1.
 * @module
 */
import { minWork } from "../model/engine_settings.ts";
import { isGood, type Outcome } from "../model/outcome.ts";

/**
 * A tier that received at least this share of its demand was not short of
 * capacity and is left out.
 */
const FULLY_SERVED_SHARE = 0.95;
/**
 * A tier that received no more than this share of its demand is left out, as it
 * says nothing about fairness between organisations.
 */
const BARELY_SERVED_SHARE = 0.03;

type OrganisationWork = { demand: number; served: number };

/** Fairness of a run over its organisations. */
export type Fairness = {
  /** Jain's index of the ratios of served work to max-min fair share; 1 is fair. */
  jainIndex: number;
  /** Lowest ratio of served work to fair share of any organisation. */
  worstRatio: number;
};

/**
 * Returns the mean Jain's index and the lowest ratio over the partly served
 * tiers; `undefined` if there are none.
 */
export function fairness(outcomes: readonly Outcome[]): Fairness | undefined {
  const byTier = new Map<string, Map<string, OrganisationWork>>();
  for (const outcome of outcomes) {
    const { organisation, requestClass } = outcome.request;
    const tier = byTier.get(requestClass.tier) ??
      new Map<string, OrganisationWork>();
    byTier.set(requestClass.tier, tier);
    const total = tier.get(organisation) ?? { demand: 0, served: 0 };
    tier.set(organisation, total);
    const work = minWork(outcome.request);
    total.demand += work;
    if (isGood(outcome)) total.served += work;
  }
  const partlyServed = [...byTier.values()].map((tier) => [...tier.values()])
    .filter(isPartlyServed)
    .map(tierFairness);
  if (partlyServed.length === 0) return undefined;
  const sum = partlyServed.reduce((total, tier) => total + tier.jainIndex, 0);
  return {
    jainIndex: sum / partlyServed.length,
    worstRatio: Math.min(...partlyServed.map((tier) => tier.worstRatio)),
  };
}

function isPartlyServed(organisations: readonly OrganisationWork[]): boolean {
  const demand = organisations.reduce(
    (sum, organisation) => sum + organisation.demand,
    0,
  );
  const served = organisations.reduce(
    (sum, organisation) => sum + organisation.served,
    0,
  );
  return served < FULLY_SERVED_SHARE * demand &&
    served > BARELY_SERVED_SHARE * demand;
}

function tierFairness(organisations: readonly OrganisationWork[]): Fairness {
  const shares = fairShares(organisations);
  const ratios = organisations.map((organisation, index) =>
    organisation.served / shares[index]!
  );
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
  return {
    jainIndex: sum * sum / (ratios.length * squares),
    worstRatio: Math.min(...ratios),
  };
}

/** Divides the served work by max-min fairness: small demands are met first. */
function fairShares(organisations: readonly OrganisationWork[]): number[] {
  let remaining = organisations.reduce(
    (sum, organisation) => sum + organisation.served,
    0,
  );
  const shares = organisations.map(() => 0);
  const order = [...organisations.keys()].sort((a, b) =>
    organisations[a]!.demand - organisations[b]!.demand
  );
  for (const [position, index] of order.entries()) {
    const evenShare = remaining / (order.length - position);
    shares[index] = Math.min(organisations[index]!.demand, evenShare);
    remaining -= shares[index]!;
  }
  return shares;
}
