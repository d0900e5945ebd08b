/**
 * Measures how long it takes to choose the servers for a request's reservations,
 * for growing numbers of backend servers. Prints a table of nanoseconds per
 * call, the median of several rounds. For comparison, it includes two
 * alternatives that visit every server. Run with `npm run bench:placing`.
 * @module
 */
import { BackendServerSet, hashText } from "@sycamorepulley/decisions";
import process from "node:process";

const SIZES = [10, 30, 100, 300, 600];
const ROUNDS = 7;
const CALLS_PER_ROUND = 20_000;
/** Fewer, for calls that take longer: they visit all servers or change the set. */
const SLOW_CALLS_PER_ROUND = 1000;
const PREFIXES = 1000;
const DATA_CENTRES = ["a1", "a2", "b1", "b2"];

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

function createNames(size: number): string[] {
  return Array.from({ length: size }, (_, index) => `10.0.0.${index}:7000`);
}

function createSet(names: readonly string[]): BackendServerSet {
  const random = createRandom(1);
  const set = new BackendServerSet({
    entry: "10.1.0.1:7000",
    dataCentre: "a1",
    regionOf: (dataCentre) => dataCentre.slice(0, 1),
  });
  for (const [index, name] of names.entries()) {
    set.add({ name, dataCentre: DATA_CENTRES[index % 4]! }, 0);
    observeRandomLoad(set, name, random, 0);
  }
  return set;
}

function observeRandomLoad(
  set: BackendServerSet,
  name: string,
  random: () => number,
  now: number,
): void {
  const running = Math.floor(random() * 12);
  const waiting = Math.floor(random() * 3);
  const report = { running, waiting, limit: 12, expectedWait: 100 };
  set.observeLoad(name, { ...report, healthy: true }, now);
}

/** Returns the median nanoseconds per call over several rounds. */
function measure(
  call: (index: number) => void,
  calls = CALLS_PER_ROUND,
): number {
  const rounds: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    const start = process.hrtime.bigint();
    for (let index = 0; index < calls; index++) call(index);
    rounds.push(Number(process.hrtime.bigint() - start) / calls);
  }
  rounds.sort((left, right) => left - right);
  return rounds[Math.floor(ROUNDS / 2)]!;
}

function measureSize(size: number): (string | number)[] {
  const names = createNames(size);
  const set = createSet(names);
  const random = createRandom(2);
  const exclude = new Set<string>();
  const options = { count: 2, exclude, tierRank: 2, now: 10, random };
  const prefixes = Array.from({ length: PREFIXES }, (_, i) => `prefix ${i}`);
  const prefixOf = (index: number) => prefixes[index % PREFIXES]!;
  const byLoad = measure(() => set.choose(options));
  const byPrefix = measure((index) =>
    set.choose({ ...options, prefixKey: prefixOf(index) })
  );
  const report = measure((index) =>
    observeRandomLoad(set, names[index % size]!, random, 10)
  );
  const shedding = measure(() => set.shedsTier(2, 10));
  const extra = { name: "added", dataCentre: "a1" };
  const membership = measure(() => {
    set.add(extra, 10);
    set.remove("added");
  }, SLOW_CALLS_PER_ROUND);
  const reports = new Map<string, Report>();
  for (const name of names) {
    reports.set(name, { running: random() * 12, waiting: 1, limit: 12, at: 0 });
  }
  const scan = measure(
    () => chooseByScan(names, reports, exclude),
    SLOW_CALLS_PER_ROUND,
  );
  const rendezvous = measure(
    (index) => chooseByRendezvous(names, prefixOf(index)),
    SLOW_CALLS_PER_ROUND,
  );
  return [
    size,
    ...[byLoad, byPrefix, report, shedding, membership, scan, rendezvous].map(
      Math.round,
    ),
  ];
}

type Report = { running: number; waiting: number; limit: number; at: number };

/** Alternative, not used: the two least loaded servers, from a scan of all. */
function chooseByScan(
  names: readonly string[],
  reports: ReadonlyMap<string, Report>,
  exclude: ReadonlySet<string>,
): [string, string] {
  const leastLoaded: [string, string] = ["", ""];
  const lowest: [number, number] = [Infinity, Infinity];
  for (const name of names) {
    if (exclude.has(name)) continue;
    const { running, waiting, limit, at } = reports.get(name)!;
    const loadRatio = at < 1000 ? (running + waiting) / limit : 0.5;
    if (loadRatio < lowest[0]) {
      [lowest[1], leastLoaded[1]] = [lowest[0], leastLoaded[0]];
      [lowest[0], leastLoaded[0]] = [loadRatio, name];
    } else if (loadRatio < lowest[1]) {
      [lowest[1], leastLoaded[1]] = [loadRatio, name];
    }
  }
  return leastLoaded;
}

/** Alternative, not used: rendezvous hashing over all servers. */
function chooseByRendezvous(names: readonly string[], key: string): string {
  let best = "";
  let highest = -1;
  for (const name of names) {
    const weight = hashText(`${key}\0${name}`);
    if (weight > highest) {
      highest = weight;
      best = name;
    }
  }
  return best;
}

const COLUMNS = [
  "servers",
  "choose 2 by load",
  "choose 2 by prefix",
  "observeLoad",
  "shedsTier",
  "add + remove",
  "scan of all",
  "rendezvous of all",
];

function row(cells: readonly (string | number)[]): string {
  return `| ${cells.join(" | ")} |`;
}

console.log(row(COLUMNS));
console.log(row(COLUMNS.map(() => "---:")));
for (const size of SIZES) console.log(row(measureSize(size)));
