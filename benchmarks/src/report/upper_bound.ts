/**
 * A bound on goodput that no policy can pass, however much it knows. The fleet
 * is taken as one machine as fast as all live engines together, which works on
 * requests in any order and in fractions; each costs its least work (prefix
 * cached, batches full) and is good if that work fits between its arrival and
 * its deadline. First-token goals, single engines' speeds and the warm-up's
 * work are left out, all in the bound's favour.
 *
 * Work with windows fits a machine exactly if no interval holds more of it than
 * the machine does in that time (Hall's condition). Such sets form a
 * polymatroid, so taking requests one by one in order of worth, each as far as
 * it still fits, gives the most: tier by tier, and within a tier (or, for the
 * free bound, overall) the least work first.
 * @module
 */
import { leastWork } from "../model/engine_settings.ts";
import type { SimulatedRequest } from "../model/request.ts";
import type { Deployment } from "../workload/deployment.ts";
import type { Pattern } from "../workload/pattern.ts";

/** Intervals begin and end at one of these many instants; windows are widened. */
const BINS = 160;

type Options = {
  deployment: Deployment;
  pattern: Pattern;
  requests: readonly SimulatedRequest[];
};

/** Most good requests of each tier, lower tiers taking what higher ones leave. */
export function boundByTier(options: Options): Map<string, number> {
  const ordered = withWork(options.requests).sort((left, right) =>
    left.request.requestClass.tierRank - right.request.requestClass.tierRank ||
    left.work - right.work
  );
  return take(ordered, options);
}

/** Most good requests of all tiers together, in whatever order. */
export function freeBound(options: Options): number {
  const ordered = withWork(options.requests).sort((left, right) =>
    left.work - right.work
  );
  let total = 0;
  for (const good of take(ordered, options).values()) total += good;
  return total;
}

type Work = { request: SimulatedRequest; work: number };

function withWork(requests: readonly SimulatedRequest[]): Work[] {
  return requests.map((request) => ({ request, work: leastWork(request) }));
}

function take(ordered: readonly Work[], options: Options): Map<string, number> {
  const machine = new FluidMachine(options);
  const good = new Map<string, number>();
  for (const { request, work } of ordered) {
    const { tier } = request.requestClass;
    const taken = machine.take(request, work);
    good.set(tier, (good.get(tier) ?? 0) + taken / work);
  }
  return good;
}

/** The room left in each interval of time. */
class FluidMachine {
  readonly #binLength: number;
  /** Room of the interval from bin `start` to the end of bin `end`. */
  readonly #room: Float64Array[];

  constructor(options: Options) {
    const end = Math.max(...options.requests.map(deadlineOf));
    this.#binLength = end / BINS;
    this.#room = Array.from({ length: BINS }, (_, start) => {
      const room = new Float64Array(BINS);
      let sum = 0;
      for (let bin = start; bin < BINS; bin++) {
        sum += this.#speedIn(bin, options) * this.#binLength;
        room[bin] = sum;
      }
      return room;
    });
  }

  /** Takes as much of the work as fits and returns that much. */
  take(request: SimulatedRequest, work: number): number {
    const first = Math.floor(request.arrival / this.#binLength);
    const last = Math.min(
      BINS - 1,
      Math.floor(deadlineOf(request) / this.#binLength),
    );
    let fits = work;
    for (let start = 0; start <= first; start++) {
      const room = this.#room[start]!;
      for (let end = last; end < BINS; end++) {
        if (room[end]! < fits) fits = room[end]!;
      }
      if (fits <= 0) return 0;
    }
    for (let start = 0; start <= first; start++) {
      const room = this.#room[start]!;
      for (let end = last; end < BINS; end++) room[end]! -= fits;
    }
    return fits;
  }

  /** Speed of the fleet at best within the bin. */
  #speedIn(bin: number, { deployment, pattern }: Options): number {
    const speeds = deployment.engines.map((one) => one.speed)
      .sort((left, right) => right - left);
    const from = bin * this.#binLength / deployment.horizon;
    const to = (bin + 1) * this.#binLength / deployment.horizon;
    for (const event of pattern.engineEvents ?? []) {
      const within = event.kind === "lost"
        ? from >= event.at
        : from >= event.from && to <= event.to;
      const factor = event.kind === "lost" ? 0 : 1 / event.factor;
      if (within) speeds[event.engine]! *= factor;
    }
    return speeds.reduce((sum, speed) => sum + speed, 0);
  }
}

function deadlineOf({ arrival, requestClass }: SimulatedRequest): number {
  return arrival + requestClass.deadline;
}
