/** A granting entry, its servers and callers in virtual time. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { CrashSuspects, GroupScheduler, SoleSuspectRule } from "../src/mod.ts";
import type { GrantDecision, GrantRequest } from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

const STEP = 5;
const LEEWAY = { window: 8000, overage: 0, slack: 0 };
/** Milliseconds after which a crashed server is back. */
const RESTART_TIME = 3500;
/** Milliseconds from the start of a run until the server crashes. */
const CRASH_DELAY = 120;

/** A kind of requests that are sent at random moments. */
export type Traffic = {
  perSecond: number;
  /** Time of the first and of the last request. */
  from: number;
  until: number;
  /** Prompt parts that requests may share, without the prefix. */
  partsOf: (draw: () => number) => string[];
  /** Milliseconds of a run. */
  runTime: (draw: () => number) => number;
  /** How often an interrupted request is sent again. */
  retries: number;
};

export type SimulationOptions = {
  seed: number;
  servers: number;
  slots: number;
  duration: number;
  traffic: readonly Traffic[];
  crashingParts: readonly string[];
  /** Milliseconds between crashes that no request causes; 0 for none. */
  crashInterval: number;
};

/** A request, and what became of it. */
type Sent = {
  request: GrantRequest;
  parts: string[];
  at: number;
  runTime: number;
  retries: number;
  isSound: boolean;
  outcome: "waiting" | "served" | "refused" | "quarantined" | "broken";
};

/** `crashedAt`: when it crashed its server, if it got that far. */
export type CrashingRun = {
  part: string;
  startedAt: number;
  crashedAt: number | undefined;
};

type Run = { sent: Sent; server: string; startedAt: number };

/** Runs the simulation in steps of a few milliseconds. */
export class CrashingPartSimulation {
  readonly suspects = new CrashSuspects(new SoleSuspectRule());
  readonly sent: Sent[] = [];
  /** Runs of requests with a crashing part. */
  readonly crashingRuns: CrashingRun[] = [];
  readonly #options: SimulationOptions;
  readonly #scheduler = new GroupScheduler(LEEWAY, undefined, this.suspects);
  readonly #runs = new Map<string, Run>();
  readonly #byId = new Map<string, Sent>();
  /** Start number of each server, and when one that crashed is back. */
  readonly #servers = new Map<string, { start: number; upAt: number }>();
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  #now = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    for (let index = 0; index < options.servers; index++) {
      this.#servers.set(`s${index}`, { start: 1, upAt: 0 });
    }
    this.#setServers();
  }

  run(): this {
    const { duration, crashInterval } = this.#options;
    for (; this.#now < duration; this.#now += STEP) {
      for (const traffic of this.#options.traffic) this.#arrive(traffic);
      this.#endRuns();
      if (crashInterval > 0 && this.#now % crashInterval < STEP) {
        this.#crash(`s${Math.floor(this.#draw() * this.#servers.size)}`);
      }
      this.#handle(this.#scheduler.decide(this.#now));
      this.#setServers();
    }
    return this;
  }

  /** Fraction of the sound requests sent in a time that were served. */
  soundServed(from: number, until: number): number {
    const sound = this.sent.filter(({ isSound, at }) =>
      isSound && at >= from && at < until
    );
    return sound.filter(({ outcome }) => outcome === "served").length /
      Math.max(1, sound.length);
  }

  /** Times at which requests crashed their servers, in order. */
  crashTimes(part?: string): number[] {
    return this.crashingRuns
      .filter((run) => part === undefined || run.part === part)
      .map(({ crashedAt }) => crashedAt)
      .filter((crashedAt) => crashedAt !== undefined)
      .sort((one, other) => one - other);
  }

  /** Number of runs of requests with a crashing part from a time on. */
  crashingRunsAfter(time: number, part: string): number {
    return this.crashingRuns
      .filter((run) => run.part === part && run.startedAt > time).length;
  }

  #draw = (): number => {
    return (this.#random.next() >>> 0) / 2 ** 32;
  };

  #arrive({ perSecond, from, until, partsOf, runTime, retries }: Traffic) {
    if (this.#now < from || this.#now >= until) return;
    if (this.#draw() >= perSecond * STEP / 1000) return;
    const parts = partsOf(this.#draw);
    const request = grantRequest({
      arrived: this.#now,
      promptParts: parts.map((part) => `part:${part}`),
      cost: { promptTokens: 0, outputTokens: 20 },
      latencyGoalAt: this.#now + 2000,
      expiresAt: this.#now + 4000,
      deadline: this.#now + 12_000,
    });
    const sent: Sent = {
      request,
      parts,
      at: this.#now,
      runTime: runTime(this.#draw),
      retries,
      isSound: !this.#hasCrashingPart(parts),
      outcome: "waiting",
    };
    this.sent.push(sent);
    this.#submit(sent);
  }

  #submit(sent: Sent): void {
    this.#byId.set(sent.request.id, sent);
    const decision = this.#scheduler.submit(sent.request, this.#now);
    if (decision !== undefined) this.#handle([decision]);
  }

  #handle(decisions: readonly GrantDecision[]): void {
    for (const decision of decisions) {
      const { request } = decision;
      const sent = this.#byId.get(request.id)!;
      if (decision.kind === "refuse") {
        const { reason } = decision;
        sent.outcome = reason === "quarantined" ? reason : "refused";
        continue;
      }
      const { server } = decision;
      const run = { sent, server, startedAt: this.#now };
      this.#runs.set(request.id, run);
      if (!sent.isSound) this.#recordCrashingRun(run);
    }
  }

  #endRuns(): void {
    for (const [id, { sent, server, startedAt }] of [...this.#runs]) {
      if (!this.#runs.has(id)) continue;
      const age = this.#now - startedAt;
      const { upAt } = this.#servers.get(nameOf(server))!;
      if (this.#now < upAt) this.#interrupt(id, "connection_refused");
      else if (!sent.isSound && age >= CRASH_DELAY) {
        this.#recordCrash(startedAt, sent);
        this.#crash(nameOf(server));
      } else if (sent.isSound && age >= sent.runTime) {
        this.#runs.delete(id);
        sent.outcome = "served";
        this.#scheduler.recordResponseStart(id, age, this.#now);
        this.#scheduler.recordEnd(id, "answered", this.#now);
      }
    }
  }

  #crash(name: string): void {
    const server = this.#servers.get(name)!;
    if (this.#now < server.upAt) return;
    for (const [id, run] of [...this.#runs]) {
      if (nameOf(run.server) === name) this.#interrupt(id, "crashed");
    }
    server.upAt = this.#now + RESTART_TIME;
    server.start++;
  }

  #interrupt(id: string, outcome: "crashed" | "connection_refused"): void {
    const { sent, server } = this.#runs.get(id)!;
    this.#runs.delete(id);
    this.#scheduler.recordEnd(id, outcome, this.#now);
    sent.outcome = "broken";
    if (sent.retries === 0) return;
    sent.retries--;
    const excludedServers = [...sent.request.excludedServers, server];
    const { id: next } = grantRequest();
    sent.request = { ...sent.request, id: next, excludedServers };
    this.#submit(sent);
  }

  #recordCrashingRun({ sent, startedAt }: Run): void {
    const part = this.#crashingPartOf(sent)!;
    this.crashingRuns.push({ part, startedAt, crashedAt: undefined });
  }

  #recordCrash(startedAt: number, sent: Sent): void {
    const part = this.#crashingPartOf(sent);
    const run = this.crashingRuns.find((run) =>
      run.part === part && run.startedAt === startedAt &&
      run.crashedAt === undefined
    );
    run!.crashedAt = this.#now;
  }

  #crashingPartOf({ parts }: Sent): string | undefined {
    return parts.find((part) => this.#options.crashingParts.includes(part));
  }

  #hasCrashingPart(parts: readonly string[]): boolean {
    return parts.some((part) => this.#options.crashingParts.includes(part));
  }

  #setServers(): void {
    this.#scheduler.setServers(
      [...this.#servers].map(([name, { start }], index) =>
        serverRecord(`${name}.${start}`, {
          startedAt: start,
          port: 80 + index,
          slots: this.#options.slots,
        })
      ),
      this.#now,
    );
  }
}

/** Name that a server keeps when it starts again. */
function nameOf(incarnation: string): string {
  return incarnation.split(".")[0]!;
}
