/**
 * Simulates the roll-out of a service in virtual time: callers, servers of two
 * versions, the entries that grant, and a driver that stores their conclusions.
 * @module
 */
import { GroupScheduler, incarnationOf } from "../src/mod.ts";
import type {
  GrantRequest,
  RolloutHandover,
  RolloutOutcome,
  RolloutReport,
  RolloutState,
  RunOutcome,
  ServerRecord,
} from "../src/mod.ts";
import { uniformSource } from "./fleet_simulation.ts";
import { grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

/** Milliseconds of one step of the simulation. */
const TICK = 10;
const NO_LEEWAY = { window: 1000, overage: 0, slack: 0 };
/** Milliseconds from a conclusion until all entries know it. */
const WRITE_TIME = 200;
/** Milliseconds between two reports to the driver. */
const REPORT_INTERVAL = 250;
/** Milliseconds from the loss of a granting entry until another one grants. */
const TAKEOVER_TIME = 500;
/** Milliseconds after which a granting entry shares what it knows. */
const SHARING_INTERVAL = 200;
export const SERVICE = "assistant";
const OLD = "v1";
const DATA_CENTRES = { old: ["a", "b"], new: ["a", "b"] };
export const TARGET = "v2";

/** How the bad version, or both, differ from a sound one. */
export type Fault = {
  kind: "slow" | "failures";
  /** Part of the responses, 0 to 1. */
  share: number;
  /** Milliseconds after the order. */
  after: number;
  /** Only on servers with more than half of their slots in use. */
  underLoad: boolean;
  /** Index of the only route; all if absent. */
  route?: number;
  /** Versions that have it; the target if absent. */
  ofBoth?: boolean;
  dataCentre?: string;
};

export type SimulationOptions = {
  seed: number;
  /** Milliseconds. */
  duration: number;
  /** Requests per second. */
  rate: number;
  routes: { runTime: number; isStream: boolean }[];
  servers: { old: number; new: number; slots: number };
  /** Where the servers of each version stand; in `a` and `b` if absent. */
  dataCentres?: { old: readonly string[]; new: readonly string[] };
  /** Data centre whose servers take so many times as long, of both versions. */
  slowDataCentre?: { name: string; factor: number };
  /** One for each group of entries. */
  groups?: number;
  fault?: Fault;
  /** Milliseconds from the order until the entries know it. */
  orderDelay?: number;
  /** Milliseconds for which a new server is cold, and twice as slow. */
  coldTime?: number;
  /** Milliseconds after the order at which the granting entries are lost. */
  losses?: number[];
  /** What they knew is lost as well. */
  losesEvidence?: boolean;
};

type Run = {
  request: GrantRequest;
  group: number;
  server: ServerRecord;
  startedAt: number;
  firstTokenAt: number;
  endsAt: number;
  hasResponded: boolean;
  outcome: RunOutcome;
  isBad: boolean;
};

/** Runs one roll-out; results are available afterwards. */
export class RolloutSimulation {
  outcome: RolloutOutcome = "running";
  /** Milliseconds from the order to the outcome. */
  concludedAt: number | undefined;
  reason = "";
  /** Requests to the service, and grants to the target, until the limit. */
  requests = 0;
  exposed = 0;
  /** Last grant to the target, and the time of its 50th bad answer. */
  lastExposedAt = 0;
  badAnswers = 0;
  fiftiethBadAt: number | undefined;
  refused = 0;
  /** Runs on old servers when these stopped. */
  interrupted = 0;
  readonly #options: SimulationOptions;
  readonly #random: () => number;
  readonly #schedulers: GroupScheduler[] = [];
  readonly #dataCentres: { old: readonly string[]; new: readonly string[] };
  readonly #old: ServerRecord[];
  readonly #new: ServerRecord[];
  readonly #orderedAt = 3000;
  #runs: Run[] = [];
  /** Requests without a grant, by id, with their group. */
  readonly #waiting = new Map<
    string,
    { request: GrantRequest; group: number }
  >();
  /** End of the time in which no entry grants. */
  #lostUntil = -Infinity;
  /** What the successor of each granting entry got last. */
  #handovers: RolloutHandover[][] = [];
  #sharedAt = 0;
  #states: ReadonlyMap<string, RolloutState> = new Map();
  #reports: RolloutReport[][] = [];
  #reportedAt = 0;
  #written: { outcome: RolloutOutcome; at: number } | undefined;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = uniformSource(options.seed);
    this.#dataCentres = options.dataCentres ?? DATA_CENTRES;
    this.#old = this.#servers("old", OLD, 1);
    this.#new = this.#servers("new", TARGET, 2);
    const groups = options.groups ?? 1;
    for (let group = 0; group < groups; group++) {
      this.#schedulers.push(this.#scheduler(0));
    }
  }

  #scheduler(now: number): GroupScheduler {
    const scheduler = new GroupScheduler(NO_LEEWAY);
    const fraction = 1 / (this.#options.groups ?? 1);
    scheduler.setQuotas(new Map(), { room: fraction, quota: fraction }, now);
    scheduler.setServers(this.#old, now);
    return scheduler;
  }

  /** Runs until two seconds after the time limit, or after the outcome. */
  run(): this {
    const { duration } = this.#options;
    const end = this.#orderedAt + duration;
    for (let now = 0; now < end; now += TICK) this.#tick(now);
    return this;
  }

  #tick(now: number): void {
    const { orderDelay = 0, coldTime = 0 } = this.#options;
    if (now === this.#orderedAt) {
      for (const record of this.#new) record.coldUntil = now + coldTime;
      this.#setServers([...this.#old, ...this.#new], now);
    }
    if (now === this.#orderedAt + orderDelay) this.#setOutcome("running", now);
    const { losses = [] } = this.#options;
    if (losses.includes(now - this.#orderedAt)) {
      this.#lostUntil = now + TAKEOVER_TIME;
    }
    if (now === this.#lostUntil) this.#takeOver(now);
    this.#arrive(now);
    this.#advanceRuns(now);
    if (this.#isLost(now)) return;
    if (now - this.#sharedAt >= SHARING_INTERVAL) this.#share(now);
    for (const [group, scheduler] of this.#schedulers.entries()) {
      for (const decision of scheduler.decide(now)) {
        this.#waiting.delete(decision.request.id);
        if (decision.kind === "refuse") this.refused++;
        else this.#start(decision.request, decision.server, group, now);
      }
    }
    if (now >= this.#orderedAt + orderDelay) this.#drive(now);
  }

  #share(now: number): void {
    this.#sharedAt = now;
    if (this.#options.losesEvidence) return;
    this.#handovers = this.#schedulers.map((scheduler) =>
      scheduler.rolloutHandovers(now)
    );
  }

  #isLost(now: number): boolean {
    return now < this.#lostUntil;
  }

  /** Other entries grant from now on. */
  #takeOver(now: number): void {
    for (const group of this.#schedulers.keys()) {
      const scheduler = this.#scheduler(now);
      for (const handover of this.#handovers[group] ?? []) {
        const age = handover.age + now - this.#sharedAt;
        scheduler.takeOverRollout({ ...handover, age }, now);
      }
      scheduler.setServers([...this.#old, ...this.#new], now);
      scheduler.setRollouts(this.#states, now);
      this.#schedulers[group] = scheduler;
    }
    for (const { request, group, server } of this.#runs) {
      this.#schedulers[group]!.adopt(request, incarnationOf(server), now);
    }
    for (const { request, group } of this.#waiting.values()) {
      this.#schedulers[group]!.submit(request, now);
    }
  }

  #servers(
    kind: "old" | "new",
    version: string,
    startedAt: number,
  ): ServerRecord[] {
    const { slots, [kind]: length } = this.#options.servers;
    const dataCentres = this.#dataCentres[kind];
    return Array.from(
      { length },
      (_, index) =>
        serverRecord(`${version}-${index}`, {
          version,
          startedAt,
          slots,
          port: startedAt * 1000 + index,
          dataCentre: dataCentres[index % dataCentres.length]!,
        }),
    );
  }

  #setServers(records: readonly ServerRecord[], now: number): void {
    for (const scheduler of this.#schedulers) {
      scheduler.setServers(records, now);
    }
  }

  #setOutcome(outcome: RolloutOutcome, now: number): void {
    const { duration } = this.#options;
    const order = {
      service: SERVICE,
      target: TARGET,
      duration,
      position: { era: 1, revision: 1 },
    };
    const { orderedAt = now } = this.#states.get(SERVICE) ?? {};
    this.#states = new Map([[SERVICE, { order, orderedAt, outcome }]]);
    for (const scheduler of this.#schedulers) {
      scheduler.setRollouts(this.#states, now);
    }
  }

  #drive(now: number): void {
    if (this.#written !== undefined) {
      if (now < this.#written.at + WRITE_TIME || this.outcome !== "running") {
        return;
      }
      this.outcome = this.#written.outcome;
      this.concludedAt = now - this.#orderedAt;
      this.#setOutcome(this.outcome, now);
      if (this.outcome === "succeeded") this.#stopOldServers(now);
      return;
    }
    if (this.#isLost(now)) return;
    if (now - this.#reportedAt < REPORT_INTERVAL) return;
    this.#reportedAt = now;
    this.#reports = this.#schedulers.map((scheduler) =>
      scheduler.rolloutReports(now)
    );
    const reports = this.#reports.flat();
    const bad = reports.find(({ outcome }) => outcome === "rolled_back");
    const isSound = reports.every(({ outcome }) => outcome === "succeeded");
    if (bad === undefined && !isSound) return;
    this.reason = (bad ?? reports[0])!.reason;
    const outcome = bad === undefined ? "succeeded" : "rolled_back";
    this.#written = { outcome, at: now };
  }

  #stopOldServers(now: number): void {
    this.#setServers(this.#new, now);
    for (const run of this.#runs) {
      if (run.server.version !== OLD) continue;
      this.interrupted++;
      run.endsAt = now;
      run.outcome = "broken";
    }
  }

  #arrive(now: number): void {
    const { rate, routes } = this.#options;
    const places = [
      ...new Set([...this.#dataCentres.old, ...this.#dataCentres.new]),
    ];
    const expected = rate * TICK / 1000;
    let count = Math.floor(expected);
    if (this.#random() < expected - count) count++;
    for (let index = 0; index < count; index++) {
      const route = Math.floor(this.#random() * routes.length);
      const group = Math.floor(this.#random() * this.#schedulers.length);
      const request = grantRequest({
        id: `${now}-${index}`,
        arrived: now,
        route: `route-${route}`,
        dataCentre: places[Math.floor(this.#random() * places.length)]!,
        cost: routes[route]!.isStream
          ? { promptTokens: 600, outputTokens: 100 }
          : { promptTokens: 0, outputTokens: 0 },
      });
      if (now >= this.#orderedAt) this.requests++;
      this.#waiting.set(request.id, { request, group });
      if (this.#isLost(now)) continue;
      const decision = this.#schedulers[group]!.submit(request, now);
      if (decision === undefined) continue;
      this.#waiting.delete(request.id);
      this.refused++;
    }
  }

  #start(
    request: GrantRequest,
    name: string,
    group: number,
    now: number,
  ): void {
    const server = [...this.#old, ...this.#new].find((record) =>
      name === `${record.id}@${record.startedAt}`
    )!;
    if (server.version === TARGET) {
      this.exposed++;
      this.lastExposedAt = now;
    }
    const route = Number(request.route!.slice("route-".length));
    const { runTime } = this.#options.routes[route]!;
    const running = this.#runs.filter((run) => run.server === server).length;
    const load = running / server.slots;
    const isBad = this.#isBad(server, route, load, now);
    const { fault, slowDataCentre } = this.#options;
    const pace = slowDataCentre?.name === server.dataCentre
      ? slowDataCentre.factor
      : 1;
    const isSlow = isBad && fault?.kind === "slow";
    const isCold = now < (server.coldUntil ?? -Infinity);
    const time = runTime * Math.exp(0.35 * this.#normal()) * (1 + load / 2) *
      pace * (isSlow ? 5 : 1) * (isCold ? 2 : 1);
    this.#runs.push({
      request,
      group,
      server,
      startedAt: now,
      firstTokenAt: now + 0.2 * time,
      endsAt: now + time,
      hasResponded: false,
      outcome: isBad && !isSlow ? "failed" : "answered",
      isBad: isBad && server.version === TARGET,
    });
  }

  #isBad(
    server: ServerRecord,
    route: number,
    load: number,
    now: number,
  ): boolean {
    const { fault } = this.#options;
    if (fault === undefined) return false;
    if (server.version !== TARGET && !fault.ofBoth) return false;
    if (now - this.#orderedAt < fault.after) return false;
    if (fault.underLoad && load <= 0.5) return false;
    if ((fault.route ?? route) !== route) return false;
    if ((fault.dataCentre ?? server.dataCentre) !== server.dataCentre) {
      return false;
    }
    return this.#random() < fault.share;
  }

  #normal(): number {
    return Math.sqrt(-2 * Math.log(1 - this.#random())) *
      Math.cos(2 * Math.PI * this.#random());
  }

  #advanceRuns(now: number): void {
    for (const run of this.#runs) {
      const scheduler = this.#schedulers[run.group]!;
      const { request, firstTokenAt, startedAt } = run;
      if (run.hasResponded || now < firstTokenAt) continue;
      run.hasResponded = true;
      if (this.#isLost(now)) continue;
      scheduler.recordResponseStart(request.id, firstTokenAt - startedAt, now);
    }
    const ended = this.#runs.filter(({ endsAt }) => endsAt <= now);
    this.#runs = this.#runs.filter(({ endsAt }) => endsAt > now);
    for (const run of ended) this.#end(run, now);
  }

  #end(run: Run, now: number): void {
    const { request, firstTokenAt, endsAt } = run;
    const scheduler = this.#schedulers[run.group]!;
    if (request.cost.promptTokens > 0 && !this.#isLost(now)) {
      scheduler.recordStreamTiming(request.id, {
        tokens: 100,
        measured: endsAt - firstTokenAt,
        pausePart: 0.1,
      }, now);
    }
    if (!this.#isLost(now)) {
      scheduler.recordEnd(request.id, run.outcome, now);
    }
    if (!run.isBad) return;
    this.badAnswers++;
    if (this.badAnswers === 50) this.fiftiethBadAt = now;
  }
}
