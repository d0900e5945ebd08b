/**
 * What it costs to decide where a request's reservations go, as the number of
 * backend servers grows. Prints a table of nanoseconds per call, the median of
 * several rounds, beside two ways that were weighed and visit every server.
 * Run with `npm run bench:placing`.
 * @module
 */
import { BackendServerSet, hashText } from "@sycamorepulley/decisions";
import process from "node:process";

const SIZES = [10, 30, 100, 300, 600];
const ROUNDS = 7;
/** Calls of one round; the ways that visit all servers take longer each. */
const CALLS = 20_000;
const SLOW_CALLS = 1000;
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
    observe(set, name, random, 0);
  }
  return set;
}

function observe(
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

/** Median nanoseconds of one call over several rounds. */
function measure(
  call: (index: number) => void,
  calls = CALLS,
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
    observe(set, names[index % size]!, random, 10)
  );
  const shedding = measure(() => set.shedsTier(2, 10));
  const extra = { name: "added", dataCentre: "a1" };
  const membership = measure(() => {
    set.add(extra, 10);
    set.remove("added");
  }, SLOW_CALLS);
  const reports = new Map<string, Report>();
  for (const name of names) {
    reports.set(name, { running: random() * 12, waiting: 1, limit: 12, at: 0 });
  }
  const scan = measure(
    () => lightestOfAll(names, reports, exclude),
    SLOW_CALLS,
  );
  const rendezvous = measure(
    (index) => rendezvousOfAll(names, prefixOf(index)),
    SLOW_CALLS,
  );
  return [
    size,
    ...[byLoad, byPrefix, report, shedding, membership, scan, rendezvous].map(
      Math.round,
    ),
  ];
}

type Report = { running: number; waiting: number; limit: number; at: number };

/** Weighed and left: the two lightest of all servers by their reports. */
function lightestOfAll(
  names: readonly string[],
  reports: ReadonlyMap<string, Report>,
  exclude: ReadonlySet<string>,
): [string, string] {
  const lightest: [string, string] = ["", ""];
  const least: [number, number] = [Infinity, Infinity];
  for (const name of names) {
    if (exclude.has(name)) continue;
    const { running, waiting, limit, at } = reports.get(name)!;
    const pressure = at < 1000 ? (running + waiting) / limit : 0.5;
    if (pressure < least[0]) {
      [least[1], lightest[1]] = [least[0], lightest[0]];
      [least[0], lightest[0]] = [pressure, name];
    } else if (pressure < least[1]) {
      [least[1], lightest[1]] = [pressure, name];
    }
  }
  return lightest;
}

/** Weighed and left: rendezvous hashing over all servers. */
function rendezvousOfAll(names: readonly string[], key: string): string {
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
