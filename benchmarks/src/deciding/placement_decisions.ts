/** The cost of choosing whom to ask for a place. @module */
import { BackendServerSet } from "@sycamorepulley/decisions";
import { nanosecondsOf, numbers } from "./measure.ts";

const DATA_CENTRES = 4;
const RESERVATIONS = 4;
const PREFIXES = 1000;
const DECISIONS = 5000;
const SEED = 11;

/** Nanoseconds of one choice of four sidecars. */
export type PlacementCost = {
  backendServers: number;
  /** The servers have room. */
  withRoom: number;
  /** Every server is overloaded, so no preferred one is taken. */
  overloaded: number;
};

/** Measures a service of `backendServers` servers. */
export function measurePlacement(backendServers: number): PlacementCost {
  return {
    backendServers,
    withRoom: measureChoice(backendServers, 4),
    overloaded: measureChoice(backendServers, 90),
  };
}

function measureChoice(backendServers: number, running: number): number {
  const set = new BackendServerSet({ entry: "entry", dataCentre: "dc0" });
  for (let index = 0; index < backendServers; index += 1) {
    const name = `server ${index}`;
    set.add({ name, dataCentre: `dc${index % DATA_CENTRES}` }, 0);
    const load = { running, waiting: 0, limit: 30, expectedWait: 0 };
    set.observeLoad(name, { ...load, healthy: true }, 0);
  }
  const random = numbers(SEED);
  const exclude = new Set<string>();
  return nanosecondsOf((index) => {
    set.choose({
      count: RESERVATIONS,
      exclude,
      prefixKey: `prefix ${index % PREFIXES}`,
      tierRank: 1,
      now: 0,
      random,
    });
  }, DECISIONS);
}
