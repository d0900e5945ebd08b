/** Simulates one run of a policy on a deployment with a load pattern. @module */
import { Engine } from "./model/engine.ts";
import { EventLoop } from "./model/event_loop.ts";
import { createOutcome, type Outcome } from "./model/outcome.ts";
import { Random } from "./model/random.ts";
import type { SimulatedRequest } from "./model/request.ts";
import { Fleet } from "./policies/fleet.ts";
import type { Caller, Policy } from "./policies/policy.ts";
import { drawArrivals } from "./workload/arrivals.ts";
import type { Deployment } from "./workload/deployment.ts";
import type { EngineEvent, Pattern } from "./workload/pattern.ts";

/** Milliseconds after an error until the caller retries. */
const RETRY_DELAY = 1000;

/** Creates the policy under test for one run. */
export type PolicyFactory = (
  options: { fleet: Fleet; caller: Caller },
) => Policy;

/** What to simulate. */
export type RunOptions = {
  deployment: Deployment;
  pattern: Pattern;
  createPolicy: PolicyFactory;
  seed: number;
  /**
   * Selects the arrivals that are simulated, for instance to measure the
   * goodput of a tier on its own; by default all of them.
   */
  filter?: (request: SimulatedRequest) => boolean;
};

/** Result of a run. */
export type RunResult = {
  outcomes: Outcome[];
  /** Number of engine crashes. */
  crashes: number;
};

/** Simulates all arrivals in virtual time until they have ended. */
export function run(options: RunOptions): RunResult {
  const { deployment, pattern, seed } = options;
  const loop = new EventLoop();
  const random = new Random(seed);
  const arrivals = drawArrivals({ deployment, pattern, random })
    .filter(options.filter ?? (() => true));
  const result: RunResult = { outcomes: [], crashes: 0 };
  const engines = createEngines(deployment, loop, result);
  for (const event of pattern.engineEvents ?? []) {
    scheduleEngineEvent({ event, engines, loop, deployment });
  }
  const fleet = new Fleet({
    loop,
    engines,
    deployment,
    random: new Random(seed + 1),
  });
  const callers = new SimulatedCallers({ loop, pattern, result });
  callers.policy = options.createPolicy({ fleet, caller: callers });
  for (const request of arrivals) {
    loop.scheduleAt(request.arrival, () => callers.send(request));
  }
  loop.runUntil(latestDeadline(arrivals) + RETRY_DELAY * 10);
  return result;
}

function latestDeadline(arrivals: readonly SimulatedRequest[]): number {
  let last = 0;
  for (const { arrival, requestClass } of arrivals) {
    last = Math.max(last, arrival + requestClass.deadline);
  }
  return last;
}

function createEngines(
  deployment: Deployment,
  loop: EventLoop,
  result: RunResult,
): Engine[] {
  const engines: Engine[] = [];
  function isCachedElsewhere(key: string, engine: Engine): boolean {
    return engines.some((other) =>
      other !== engine && other.alive && other.cache.has(key)
    );
  }
  for (const settings of deployment.engines) {
    engines.push(
      new Engine({
        settings,
        loop,
        isCachedElsewhere,
        onCrash: () => result.crashes += 1,
      }),
    );
  }
  return engines;
}

function scheduleEngineEvent(
  { event, engines, loop, deployment }: {
    event: EngineEvent;
    engines: readonly Engine[];
    loop: EventLoop;
    deployment: Deployment;
  },
): void {
  const fastestFirst = [...engines].sort((left, right) =>
    right.settings.speed - left.settings.speed
  );
  const engine = fastestFirst[event.engine]!;
  const { horizon } = deployment;
  if (event.kind === "lost") {
    loop.scheduleAt(event.at * horizon, () => engine.crash());
    return;
  }
  loop.scheduleAt(event.from * horizon, () => engine.setSlowdown(event.factor));
  loop.scheduleAt(event.to * horizon, () => engine.setSlowdown(1));
}

/**
 * The callers, which record what they receive and give up at their deadline.
 * They retry crashing requests only.
 */
class SimulatedCallers implements Caller {
  policy: Policy | undefined;
  readonly #loop: EventLoop;
  readonly #retries: number;
  readonly #result: RunResult;

  constructor(
    options: { loop: EventLoop; pattern: Pattern; result: RunResult },
  ) {
    this.#loop = options.loop;
    this.#retries = options.pattern.crashingRequest?.retries ?? 0;
    this.#result = options.result;
  }

  send(request: SimulatedRequest): void {
    const outcome = createOutcome(request);
    this.#result.outcomes.push(outcome);
    this.policy!.submit(outcome);
    this.#loop.scheduleAfter(request.requestClass.deadline, () => {
      if (isSettled(outcome)) return;
      outcome.refusedAt = this.#loop.now;
      outcome.reason = "caller_left";
      this.policy!.cancel(outcome);
    });
  }

  notifyFirstToken(outcome: Outcome): void {
    if (!isSettled(outcome)) outcome.firstTokenAt ??= this.#loop.now;
  }

  notifyFinished(outcome: Outcome): void {
    if (!isSettled(outcome)) outcome.finishedAt = this.#loop.now;
  }

  notifyRefused(outcome: Outcome, reason: string): void {
    if (isSettled(outcome)) return;
    outcome.refusedAt = this.#loop.now;
    outcome.reason = reason;
    const { request } = outcome;
    if (!request.crashesEngine || request.attempt >= this.#retries) return;
    const retry = {
      ...request,
      arrival: this.#loop.now + RETRY_DELAY,
      attempt: request.attempt + 1,
    };
    this.#loop.scheduleAfter(RETRY_DELAY, () => this.send(retry));
  }
}

function isSettled(outcome: Outcome): boolean {
  return outcome.finishedAt !== undefined || outcome.refusedAt !== undefined;
}
