/** Measures the choice of sidecars for a request's reservations. @module */
import { BackendServerSet } from "@sycamorepulley/decisions";
import { createRandom, measureNanoseconds } from "./measure.ts";

const DATA_CENTRES = 4;
const RESERVATIONS = 4;
const PREFIXES = 1000;
const DECISIONS = 5000;
const SEED = 11;

/** Nanoseconds for one choice of four sidecars. */
export type PlacementCost = {
  backendServers: number;
  /** The servers have free capacity. */
  withCapacity: number;
  /** All servers are overloaded, so the prefix's preferred one is not chosen. */
  overloaded: number;
};

/** Measures the choice for a service with `backendServers` servers. */
export function measurePlacement(backendServers: number): PlacementCost {
  return {
    backendServers,
    withCapacity: measureChoice(backendServers, 4),
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
  const random = createRandom(SEED);
  const exclude = new Set<string>();
  return measureNanoseconds((index) => {
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
