/** One run: a deployment, a pattern, a policy and a seed. @module */
import { Engine } from "./model/engine.ts";
import { EventLoop } from "./model/event_loop.ts";
import { type Outcome, pendingOutcome } from "./model/outcome.ts";
import { Random } from "./model/random.ts";
import type { SimulatedRequest } from "./model/request.ts";
import { Fleet } from "./policies/fleet.ts";
import type { Caller, Policy } from "./policies/policy.ts";
import { drawArrivals } from "./workload/arrivals.ts";
import type { Deployment } from "./workload/deployment.ts";
import type { EngineEvent, Pattern } from "./workload/pattern.ts";

/** Time from an error to the caller's next sending, in milliseconds. */
const RESEND_AFTER = 1000;

/** Builds the policy under test for one run. */
export type PolicyFactory = (
  options: { fleet: Fleet; caller: Caller },
) => Policy;

/** See the module. */
export type RunOptions = {
  deployment: Deployment;
  pattern: Pattern;
  policy: PolicyFactory;
  seed: number;
  /** Only these arrivals happen, for a tier's goodput when it is alone. */
  only?: (request: SimulatedRequest) => boolean;
};

/** What happened in a run. */
export type RunResult = {
  outcomes: Outcome[];
  /** Times that an engine died. */
  crashes: number;
};

/** Runs the arrivals to their ends in virtual time. */
export function run(options: RunOptions): RunResult {
  const { deployment, pattern, seed } = options;
  const loop = new EventLoop();
  const random = new Random(seed);
  const arrivals = drawArrivals({ deployment, pattern, random })
    .filter(options.only ?? (() => true));
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
  const callers = new Callers({ loop, pattern, result });
  callers.policy = options.policy({ fleet, caller: callers });
  for (const request of arrivals) {
    loop.at(request.arrival, () => callers.send(request));
  }
  loop.run(lastDeadline(arrivals) + RESEND_AFTER * 10);
  return result;
}

function lastDeadline(arrivals: readonly SimulatedRequest[]): number {
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
  function heldElsewhere(key: string, engine: Engine): boolean {
    return engines.some((one) =>
      one !== engine && one.alive && one.cache.has(key)
    );
  }
  for (const settings of deployment.engines) {
    engines.push(
      new Engine({
        settings,
        loop,
        heldElsewhere,
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
    loop.at(event.at * horizon, () => engine.crash());
    return;
  }
  loop.at(event.from * horizon, () => engine.slowDown(event.factor));
  loop.at(event.to * horizon, () => engine.slowDown(1));
}

/** The callers: they note what they receive, give up, and may send again. */
class Callers implements Caller {
  policy: Policy | undefined;
  readonly #loop: EventLoop;
  readonly #resends: number;
  readonly #result: RunResult;

  constructor(
    options: { loop: EventLoop; pattern: Pattern; result: RunResult },
  ) {
    this.#loop = options.loop;
    this.#resends = options.pattern.crashingRequest?.resends ?? 0;
    this.#result = options.result;
  }

  send(request: SimulatedRequest): void {
    const outcome = pendingOutcome(request);
    this.#result.outcomes.push(outcome);
    this.policy!.arrive(outcome);
    this.#loop.after(request.requestClass.deadline, () => {
      if (isSettled(outcome)) return;
      outcome.refusedAt = this.#loop.now;
      outcome.reason = "caller_left";
      this.policy!.abandon(outcome);
    });
  }

  firstToken(outcome: Outcome): void {
    if (!isSettled(outcome)) outcome.firstTokenAt ??= this.#loop.now;
  }

  finished(outcome: Outcome): void {
    if (!isSettled(outcome)) outcome.finishedAt = this.#loop.now;
  }

  refused(outcome: Outcome, reason: string): void {
    if (isSettled(outcome)) return;
    outcome.refusedAt = this.#loop.now;
    outcome.reason = reason;
    const { request } = outcome;
    if (!request.crashes || request.attempt >= this.#resends) return;
    const resent = {
      ...request,
      arrival: this.#loop.now + RESEND_AFTER,
      attempt: request.attempt + 1,
    };
    this.#loop.after(RESEND_AFTER, () => this.send(resent));
  }
}

function isSettled(outcome: Outcome): boolean {
  return outcome.finishedAt !== undefined || outcome.refusedAt !== undefined;
}
