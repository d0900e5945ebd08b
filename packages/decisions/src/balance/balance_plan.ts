/** Plans how much of which class is sent from which data centre to which. @module */
import { rankFactor } from "../dispatch/priority_key.ts";
import type { ClassDemand } from "./class_demand.ts";
import { solveFlow } from "./flow_problem.ts";
import type { FlowPlan } from "./flow_problem.ts";
import { transferCost } from "./request_worth.ts";

/**
 * Part of its value by which a response at home is preferred to one that gains
 * only some milliseconds elsewhere.
 */
const HOME_PREFERENCE = 0.001;

/** What a plan is made from. */
export type PlanInputs = {
  classes: readonly ClassDemand[];
  /** Usable slots by data centre. */
  capacities: ReadonlyMap<string, number>;
  /** Price of a megabyte; see {@link transferCost}. */
  transferPrice: number;
  /** {@link rankFactor} of the most urgent route of the service. */
  topRank: number;
  now: number;
};

/** The plan for one data centre. */
export type DataCentrePlan = {
  /** Value of a millisecond of one of its slots. */
  price: number;
  /** Slots that its callers need: `load` as a fraction of `slots`. */
  load: number;
  demand: number;
  slots: number;
  /** Value for each millisecond of a slot of its least valuable callers. */
  lowestDensity: number;
};

/** Part of the demand of one data centre that is sent to another one. */
export type PlannedShare = { from: string; to: string; share: number };

export type BalancePlan = {
  dataCentres: ReadonlyMap<string, DataCentrePlan>;
  shares: readonly PlannedShare[];
  /** Part of each class that is sent to each other data centre. */
  classShares: readonly ReadonlyMap<string, number>[];
};

/** Returns the plan with the greatest value less the cost of transfers. */
export function planBalance(inputs: PlanInputs): BalancePlan {
  const { classes, capacities, now } = inputs;
  const names = [...capacities.keys()];
  const demands = classes.map(({ slots }) => slots.forecast(now));
  const plan = solveFlow({
    sources: classes.map((known, index) => ({
      amount: demands[index]!,
      profits: names.map((name) => profitAt(name, known, inputs)),
    })),
    capacities: names.map((name) => capacities.get(name)!),
  });
  const prices = new Map(
    names.map((name, place) => [name, plan.prices[place]!]),
  );
  const homes = new Set([...names, ...classes.map(({ home }) => home)]);
  const dataCentres = new Map<string, DataCentrePlan>();
  for (const home of homes) {
    const slots = capacities.get(home) ?? 0;
    const demand = sumOf(demands, (index) => classes[index]!.home === home);
    dataCentres.set(home, {
      price: prices.get(home) ?? 0,
      load: demand / Math.max(slots, Number.EPSILON),
      demand,
      slots,
      lowestDensity: lowestDensityOf(home, inputs),
    });
  }
  const shares = sharesOf(names, classes, plan, dataCentres);
  const classShares = classes.map(({ home }, index) =>
    new Map(names.flatMap((name, place) => {
      const share = plan.flows[index]![place]! / demands[index]!;
      return name !== home && share > 0 ? [[name, share] as const] : [];
    }))
  );
  return { dataCentres, shares, classShares };
}

/** Value of a timely response of the class. */
function valueOf(known: ClassDemand, { topRank }: PlanInputs): number {
  return known.relativeValue * topRank / rankFactor(known);
}

function profitAt(
  name: string,
  known: ClassDemand,
  inputs: PlanInputs,
): number {
  const { home, allowedDataCentres, runTime, bytes } = known;
  if (allowedDataCentres?.includes(name) === false) return -Infinity;
  const value = valueOf(known, inputs);
  const cost = name === home
    ? 0
    : transferCost(bytes, inputs.transferPrice) + HOME_PREFERENCE * value;
  return (value - cost) / runTime;
}

function lowestDensityOf(home: string, inputs: PlanInputs): number {
  let lowest = Infinity;
  for (const known of inputs.classes) {
    if (known.home !== home) continue;
    lowest = Math.min(lowest, valueOf(known, inputs) / known.runTime);
  }
  return lowest === Infinity ? 0 : lowest;
}

function sharesOf(
  names: readonly string[],
  classes: readonly ClassDemand[],
  { flows }: FlowPlan,
  dataCentres: ReadonlyMap<string, DataCentrePlan>,
): PlannedShare[] {
  const shares: PlannedShare[] = [];
  for (const [from, { demand }] of dataCentres) {
    names.forEach((to, place) => {
      if (to === from || demand <= 0) return;
      const sent = sumOf(
        flows.map((flow) => flow[place]!),
        (index) => classes[index]!.home === from,
      );
      if (sent > 0) shares.push({ from, to, share: sent / demand });
    });
  }
  return shares;
}

function sumOf(
  amounts: readonly number[],
  isIncluded: (index: number) => boolean,
): number {
  return amounts.reduce(
    (sum, amount, index) => isIncluded(index) ? sum + amount : sum,
    0,
  );
}
