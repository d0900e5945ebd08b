/**
 * Plays a load against one desk and engines in virtual time, and counts what
 * callers get. Engines read prompts in between the steps of all that they run, as
 * batching engines do; callers that are refused come back once, as told.
 * @module
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type {
  Cost,
  GrantDecision,
  GrantRequest,
  GroupScheduler,
} from "../src/mod.ts";

/** Milliseconds of one step of the simulation. */
const TICK = 5;
/** Milliseconds of an engine's step for one token of each answer that it runs. */
const STEP = 4;
const PROMPT_TOKENS_PER_MILLISECOND = 112;
/** Milliseconds from sending to a first token, without any prompt. */
const FIRST_TOKEN = 47;
const UNIFORM_RANGE = 1 << 24;

/** One kind of request of a load. */
export type LoadKind = {
  name: string;
  service: string;
  tierRank: number;
  routeRank: number;
  organisation: string;
  /** Requests a second at `now`. */
  rate: (now: number) => number;
  /** Milliseconds: to the first answer on time, and to the caller's deadline. */
  goal: number;
  patience: number;
  deadline: number;
  /** Medians in tokens, and the spread of both (of a lognormal distribution). */
  prompt: number;
  output: number;
  spread: number;
};

/** What the callers of one kind got. */
export type LoadResult = {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Refused at first, and again when they came back. */
  refusedTwice: number;
};

type Running = {
  ask: GrantRequest;
  call: Call;
  startedAt: number;
  unread: number;
  left: number;
  firstAt: number | undefined;
};

/** A caller's request; `outcome` is shared by its retries. */
export type Call = {
  kind: LoadKind;
  cost: Cost;
  bornAt: number;
  returned: boolean;
  /** `served` is true once the answer is complete. */
  outcome: { served: boolean };
};

type Engine = {
  name: string;
  speed: number;
  running: Running[];
  credit: number;
};

/** A uniform number in [0, 1) for each call, the same for each seed. */
export function draws(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, UNIFORM_RANGE - 1) / UNIFORM_RANGE;
}

/** See the module. */
export class VirtualFleet {
  readonly results = new Map<string, LoadResult>();
  /** Every grant: when, for whom and for how many tokens of its quota. */
  readonly grants: { at: number; organisation: string; charge: number }[] = [];
  /** All requests in order of arrival, without retries. */
  readonly requests: Call[] = [];
  readonly #desk: GroupScheduler;
  readonly #kinds: readonly LoadKind[];
  readonly #engines = new Map<string, Engine>();
  readonly #calls = new Map<string, Call>();
  readonly #returns: { at: number; call: Call }[] = [];
  readonly #draw: () => number;
  #number = 0;

  constructor(options: {
    desk: GroupScheduler;
    kinds: readonly LoadKind[];
    /** By the name that the desk grants them under. */
    speeds: ReadonlyMap<string, number>;
    seed: number;
  }) {
    this.#desk = options.desk;
    this.#kinds = options.kinds;
    this.#draw = draws(options.seed);
    for (const [name, speed] of options.speeds) {
      this.#engines.set(name, { name, speed, running: [], credit: 0 });
    }
    for (const { name } of options.kinds) {
      const none = {
        asked: 0,
        onTime: 0,
        late: 0,
        refused: 0,
        refusedTwice: 0,
      };
      this.results.set(name, none);
    }
  }

  /** Plays from 0 to `end`, and until nothing runs any more. */
  play(end: number): void {
    for (let now = 0; now < end || this.#calls.size > 0; now += TICK) {
      if (now < end) this.#arrive(now);
      this.#comeBack(now);
      for (const engine of this.#engines.values()) this.#step(engine, now);
      for (const verdict of this.#desk.decide(now)) this.#take(verdict, now);
    }
  }

  #arrive(now: number): void {
    for (const kind of this.#kinds) {
      if (this.#draw() >= kind.rate(now) * TICK / 1000) continue;
      this.results.get(kind.name)!.asked++;
      const cost = {
        promptTokens: this.#size(kind.prompt, kind.spread),
        outputTokens: this.#size(kind.output, kind.spread),
      };
      const outcome = { served: false };
      const call = { kind, cost, bornAt: now, returned: false, outcome };
      this.requests.push(call);
      this.#ask(call, now);
    }
  }

  #size(median: number, spread: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - this.#draw())) *
      Math.cos(2 * Math.PI * this.#draw());
    const size = median * Math.exp(spread * normal);
    return Math.round(Math.min(median * 12, Math.max(1, size)));
  }

  #comeBack(now: number): void {
    for (let index = this.#returns.length - 1; index >= 0; index--) {
      const { at, call } = this.#returns[index]!;
      if (at > now) continue;
      this.#returns.splice(index, 1);
      this.#ask({ ...call, returned: true }, now);
    }
  }

  #ask(call: Call, now: number): void {
    const { kind, cost } = call;
    const id = `ask-${++this.#number}`;
    const endsAt = call.bornAt + kind.deadline;
    const ask: GrantRequest = {
      id,
      entry: "entry",
      service: kind.service,
      tierRank: kind.tierRank,
      routeRank: kind.routeRank,
      organisation: kind.organisation,
      dataCentre: "a",
      cost,
      charge: cost.promptTokens + cost.outputTokens,
      arrived: now,
      latencyGoalAt: now + kind.goal,
      expiresAt: now + Math.min(kind.patience, (endsAt - now) / 4),
      deadline: endsAt,
      fingerprint: `${kind.name}-${call.bornAt}`,
      jitter: this.#draw(),
      excludedServers: [],
    };
    this.#calls.set(id, call);
    const verdict = this.#desk.submit(ask, now);
    if (verdict !== undefined) this.#take(verdict, now);
  }

  #take(verdict: GrantDecision, now: number): void {
    const { request: ask } = verdict;
    const call = this.#calls.get(ask.id)!;
    if (verdict.kind === "refuse") {
      this.#calls.delete(ask.id);
      this.#refused(call, verdict.retryAfter, now);
      return;
    }
    const { organisation, charge, cost } = ask;
    this.grants.push({ at: now, organisation, charge });
    this.#engines.get(verdict.server)!.running.push({
      ask,
      call,
      startedAt: now,
      unread: cost.promptTokens,
      left: cost.outputTokens,
      firstAt: undefined,
    });
  }

  #refused(call: Call, retryAfter: number, now: number): void {
    const result = this.results.get(call.kind.name)!;
    if (call.returned) {
      result.refused++;
      result.refusedTwice++;
      return;
    }
    const left = call.bornAt + call.kind.deadline - now;
    this.#returns.push({ at: now + Math.min(retryAfter, left / 3), call });
  }

  #step(engine: Engine, now: number): void {
    engine.credit = engine.running.length === 0
      ? 0
      : engine.credit + TICK * engine.speed;
    for (const run of engine.running) {
      const reading = run.unread / PROMPT_TOKENS_PER_MILLISECOND;
      const used = Math.min(engine.credit, reading);
      run.unread -= used * PROMPT_TOKENS_PER_MILLISECOND;
      engine.credit -= used;
    }
    while (engine.credit >= STEP && engine.running.length > 0) {
      engine.credit -= STEP;
      this.#oneToken(engine, now);
    }
  }

  #oneToken(engine: Engine, now: number): void {
    for (const run of [...engine.running]) {
      if (run.unread >= 1 || now - run.startedAt < FIRST_TOKEN) continue;
      if (run.firstAt === undefined) {
        run.firstAt = now;
        this.#desk.recordResponseStart(run.ask.id, now - run.startedAt, now);
      }
      run.left--;
      const whole = run.left <= 0;
      if (!whole && now < run.ask.deadline) continue;
      engine.running.splice(engine.running.indexOf(run), 1);
      this.#ended(run, whole, now);
    }
  }

  #ended(run: Running, whole: boolean, now: number): void {
    const { ask, call, firstAt = now } = run;
    const tokens = ask.cost.outputTokens;
    const pace = { tokens, measured: now - firstAt, pausePart: 0.3 };
    this.#desk.recordStreamTiming(ask.id, pace, now);
    this.#desk.recordEnd(ask.id, whole ? "answered" : "abandoned", now);
    this.#calls.delete(ask.id);
    const result = this.results.get(call.kind.name)!;
    call.outcome.served = whole;
    const inTime = firstAt - call.bornAt <= call.kind.goal;
    if (!whole) result.refused++;
    else if (inTime) result.onTime++;
    else result.late++;
  }
}
