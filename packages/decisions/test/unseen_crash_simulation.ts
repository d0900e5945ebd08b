import { CrashSuspects, GroupScheduler, SoleSuspectRule } from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

/** Milliseconds of virtual time in one step. */
const STEP = 20;
/** Milliseconds that a sound run takes, and a fatal one until its crash. */
const RUN_TIME = 30;
const CRASH_DELAY = 80;
/** Milliseconds after which an entry gives up a silent server. */
const SILENCE_TIMEOUT = 400;
/** Milliseconds after which a crashed server is back, by default. */
const RESTART_DELAY = 3500;
/** Milliseconds from one fatal request to the next, and from a sound one. */
const FATAL_INTERVAL = 200;
const SOUND_INTERVAL = 60;
/** Milliseconds that a request waits at most. */
const WAIT = 900;

/** What entries see of a server that has ended. */
export type EndShape = "refused" | "accepted" | "silent";

/** How the servers of a simulation crash. */
export type EndOptions = {
  shape: EndShape;
  /** Milliseconds until the record lapses; it stays if that is too late. */
  lapseDelay: number;
  restartDelay?: number;
};

type SimulatedServer = {
  startedAt: number;
  isListed: boolean;
  /** How it ended, and when; `undefined` while it is up. */
  end: (EndOptions & { at: number }) | undefined;
};

type SimulatedRun = {
  id: string;
  fingerprint: string;
  server: number;
  startedAt: number;
  sentAt: number;
};

/** One service in virtual time, with requests that crash each server. */
export class UnseenCrashSimulation {
  readonly suspects = new CrashSuspects(new SoleSuspectRule());
  readonly #scheduler = new GroupScheduler(
    { window: 8000, overage: 0, slack: 0 },
    undefined,
    this.suspects,
  );
  readonly #servers: SimulatedServer[] = [];
  readonly #runs = new Map<string, SimulatedRun>();
  readonly #nextEnd: () => EndOptions;
  /** Times at which servers ran a fatal request, by fingerprint. */
  readonly fatalRuns = new Map<string, number[]>();
  soundSent = 0;
  soundAnswered = 0;
  crashes = 0;
  now = 0;
  #fatalSent = 0;
  #ownCrashes = 0;
  readonly #ownCrashInterval: number;

  constructor(
    options: {
      serverCount: number;
      fatalCount: number;
      /** Called for each crash. */
      nextEnd: () => EndOptions;
      /** Milliseconds between crashes that no request causes; none if absent. */
      ownCrashInterval?: number;
    },
  ) {
    this.#nextEnd = options.nextEnd;
    this.#ownCrashInterval = options.ownCrashInterval ?? Infinity;
    for (let index = 0; index < options.serverCount; index++) {
      this.#servers.push({ startedAt: 1, isListed: true, end: undefined });
    }
    for (let index = 0; index < options.fatalCount; index++) {
      this.fatalRuns.set(`fatal-${index}`, []);
    }
    this.#setServers();
  }

  /** Runs until `end`, with fatal requests from `fatalFrom` on. */
  run(end: number, fatalFrom = 0): void {
    const fatal = [...this.fatalRuns.keys()];
    for (; this.now < end; this.now += STEP) {
      this.#updateServers();
      this.#updateRuns();
      this.#crashAnyServer();
      const interval = FATAL_INTERVAL / fatal.length;
      while (
        fatal.length > 0 && fatalFrom + this.#fatalSent * interval <= this.now
      ) {
        this.#submit(fatal[this.#fatalSent++ % fatal.length]!);
      }
      if (this.now % SOUND_INTERVAL === 0) {
        const isRepeated = this.now % (2 * SOUND_INTERVAL) === 0;
        this.soundSent++;
        this.#submit(isRepeated ? "sound" : `sound-${this.now}`);
      }
      this.#decide();
    }
  }

  /** Runs of a request later than `after` its third crash. */
  countLate(fingerprint: string, after: number): number {
    const times = this.fatalRuns.get(fingerprint)!;
    const proofAt = (times[2] ?? Infinity) + CRASH_DELAY;
    return times.filter((at) => at > proofAt + after).length;
  }

  /** Fingerprints that are refused now. */
  quarantined(): string[] {
    return this.suspects.statements(this.now)
      .filter(({ kind }) => kind === "quarantined")
      .map(({ fingerprint }) => fingerprint);
  }

  #submit(fingerprint: string): void {
    this.#scheduler.submit(
      grantRequest({
        fingerprint,
        cost: { promptTokens: 0, outputTokens: 1 },
        charge: 0,
        arrived: this.now,
        latencyGoalAt: this.now + 150,
        expiresAt: this.now + WAIT,
        deadline: this.now + WAIT,
      }),
      this.now,
    );
  }

  #decide(): void {
    for (const decision of this.#scheduler.decide(this.now)) {
      if (decision.kind !== "grant") continue;
      const { request: { id, fingerprint } } = decision;
      const server = Number(decision.server.slice(1).split(".")[0]);
      const { startedAt, end } = this.#servers[server]!;
      if (end?.shape === "refused") {
        this.#scheduler.recordEnd(id, "connection_refused", this.now);
        continue;
      }
      if (end === undefined) this.fatalRuns.get(fingerprint)?.push(this.now);
      const run = { id, fingerprint, server, startedAt, sentAt: this.now };
      this.#runs.set(id, run);
    }
  }

  #updateServers(): void {
    let hasChanged = false;
    for (const server of this.#servers) {
      if (server.end === undefined) continue;
      const { at, lapseDelay, restartDelay = RESTART_DELAY } = server.end;
      if (this.now >= at + restartDelay) {
        server.end = undefined;
        server.startedAt++;
        server.isListed = true;
        hasChanged = true;
      } else if (server.isListed && this.now >= at + lapseDelay) {
        server.isListed = false;
        hasChanged = true;
      }
    }
    if (hasChanged) this.#setServers();
  }

  #updateRuns(): void {
    for (const run of [...this.#runs.values()]) {
      if (!this.#runs.has(run.id)) continue;
      const { end, startedAt } = this.#servers[run.server]!;
      const duration = this.now - run.sentAt;
      const isFatal = this.fatalRuns.has(run.fingerprint);
      if (startedAt !== run.startedAt || end !== undefined) {
        if (duration >= SILENCE_TIMEOUT) this.#end(run, "abandoned");
      } else if (isFatal && duration >= CRASH_DELAY) this.#crash(run.server);
      else if (!isFatal && duration >= RUN_TIME) this.#answer(run);
    }
  }

  /** Crashes the next server in turn, if it is up. */
  #crashAnyServer(): void {
    if (this.now < (this.#ownCrashes + 1) * this.#ownCrashInterval) return;
    const index = this.#ownCrashes++ % this.#servers.length;
    if (this.#servers[index]!.end === undefined) this.#crash(index);
  }

  #answer(run: SimulatedRun): void {
    this.soundAnswered++;
    this.#scheduler.recordResponseStart(run.id, RUN_TIME, this.now);
    this.#end(run, "answered");
  }

  #crash(index: number): void {
    this.crashes++;
    const end = this.#nextEnd();
    this.#servers[index]!.end = { ...end, at: this.now };
    if (end.shape === "silent") return;
    const outcome = end.shape === "refused" ? "crashed" : "broken";
    for (const run of [...this.#runs.values()]) {
      if (run.server === index) this.#end(run, outcome);
    }
  }

  #end(
    { id }: SimulatedRun,
    outcome: "answered" | "abandoned" | "broken" | "crashed",
  ): void {
    this.#runs.delete(id);
    this.#scheduler.recordEnd(id, outcome, this.now);
  }

  #setServers(): void {
    const records = this.#servers.map(({ startedAt }, index) =>
      serverRecord(`s${index}.${startedAt}`, {
        startedAt,
        port: 80 + index,
        slots: 6,
      })
    ).filter((_, index) => this.#servers[index]!.isListed);
    this.#scheduler.setServers(records, this.now);
  }
}
