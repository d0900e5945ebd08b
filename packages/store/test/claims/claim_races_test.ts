// Three entries claim two keys in a service that drops and delays writes and
// loses responses. In every order of events: no request runs twice, a released
// one did not run, and a retry that gets "done" gets the one run's outcome.
// CLAIM_RACES_RUNS and CLAIM_RACES_SEED set the number of runs and the seed.
import fc from "fast-check";
import process from "node:process";
import { Result } from "true-myth/result";
import t from "tap";
import {
  ClaimLedger,
  KeyValueStore,
  MemoryKeyValueStore,
} from "../../src/mod.ts";
import type {
  KeyValueEntry,
  PlatformError,
  SwapOptions,
  SwapOutcome,
  WatchOptions,
  WatchOutcome,
} from "../../src/mod.ts";
import { createRequest, NOW } from "./fixture.ts";

const RUNS = Number(process.env["CLAIM_RACES_RUNS"] ?? 150);
/** Milliseconds. */
const CLAIM_TIMEOUT = 1e9;
const SEED = Number(process.env["CLAIM_RACES_SEED"] ?? 20300101);

type Fault =
  | "none"
  | "lost_answer"
  | "lost_request"
  | "late_request"
  | "refused";
type Attempt = {
  ledger: number;
  key: string;
  end: "record" | "release" | "crash";
};
type Event = {
  key: string;
  run: string;
  type: "claimed" | "ran" | "released" | "done";
};

/** A store in which each call and each response is delivered when scheduled. */
class ScheduledStore extends KeyValueStore {
  readonly #inner = new MemoryKeyValueStore();
  readonly #scheduler: fc.Scheduler;
  readonly #faults: Fault[];
  readonly #ignoresRevisions: boolean;

  constructor(
    scheduler: fc.Scheduler,
    faults: Fault[],
    ignoresRevisions: boolean,
  ) {
    super();
    this.#scheduler = scheduler;
    this.#faults = [...faults];
    this.#ignoresRevisions = ignoresRevisions;
  }

  waitForTurn(): Promise<void> {
    return this.#scheduler.schedule(Promise.resolve());
  }

  override get era(): number {
    return this.#inner.era;
  }

  override onRestore(listener: () => void): void {
    this.#inner.onRestore(listener);
  }

  override async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, PlatformError>> {
    await this.waitForTurn();
    const entry = await this.#inner.get(key);
    await this.waitForTurn();
    return entry;
  }

  override async compareAndSwap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const fault = this.#faults.shift() ?? "none";
    if (fault === "late_request") {
      void this.#swapLater(options);
    }
    if (fault !== "none" && fault !== "lost_answer") {
      await this.waitForTurn();
      return Result.err(failed(fault === "refused" ? "no" : "unknown"));
    }
    await this.waitForTurn();
    const outcome = await this.#swap(options);
    await this.waitForTurn();
    return fault === "none" ? outcome : Result.err(failed("unknown"));
  }

  async #swapLater(options: SwapOptions): Promise<void> {
    await this.waitForTurn();
    await this.waitForTurn();
    await this.waitForTurn();
    await this.#swap(options);
  }

  /** Without the check of revisions, a write succeeds whatever it expects. */
  async #swap(
    options: SwapOptions,
  ): Promise<Result<SwapOutcome, PlatformError>> {
    const entry = (await this.#inner.get(options.key)).unwrapOr(undefined);
    const expected = this.#ignoresRevisions
      ? entry?.revision ?? 0
      : options.expected;
    return this.#inner.compareAndSwap({ ...options, expected });
  }

  override grantLease(): Promise<Result<string, PlatformError>> {
    return Promise.resolve(Result.err(failed("no")));
  }
  override renewLease(): Promise<Result<boolean, PlatformError>> {
    return Promise.resolve(Result.ok(false));
  }
  override revokeLease(): Promise<Result<void, PlatformError>> {
    return Promise.resolve(Result.ok(undefined));
  }
  override watch(
    _options: WatchOptions,
  ): Promise<Result<WatchOutcome, PlatformError>> {
    return Promise.resolve(Result.ok({ changed: false }));
  }
}

function failed(applied: "no" | "unknown"): PlatformError {
  return {
    step: "swap",
    peer: "scheduled",
    reason: "timeout",
    applied,
    detail: "",
  };
}

/** One attempt of a caller at one entry, recorded in the history. */
async function attempt(
  options: {
    ledgers: ClaimLedger[];
    store: ScheduledStore;
    history: Event[];
    attempt: Attempt;
    run: string;
  },
): Promise<void> {
  const { ledgers, store, history, attempt: { ledger, key, end }, run } =
    options;
  const result = await ledgers[ledger]!.claim(createRequest({ key }));
  if (result.isErr) {
    return;
  }
  if (result.value.kind === "done") {
    const recordedRun = result.value.outcome.headers["run"] ?? "";
    history.push({ key, run: recordedRun, type: "done" });
  }
  if (result.value.kind !== "claimed") {
    return;
  }
  const { claim } = result.value;
  history.push({ key, run, type: "claimed" });
  await store.waitForTurn();
  if (end === "release") {
    history.push({ key, run, type: "released" });
    await ledgers[ledger]!.release(claim);
    return;
  }
  history.push({ key, run, type: "ran" });
  if (end === "record") {
    const outcome = { status: 200, headers: { run } };
    await ledgers[ledger]!.record({ claim, outcome });
  }
}

/** Returns the rules that the history violates. */
function violations(history: Event[]): string[] {
  const found: string[] = [];
  for (const key of new Set(history.map((event) => event.key))) {
    const events = history.filter((event) => event.key === key);
    const runs = events.filter(({ type }) => type === "ran");
    if (runs.length > 1) {
      found.push(`${key} ran ${runs.length} times`);
    }
    if (
      events.some(({ type, run }) => type === "done" && run !== runs[0]?.run)
    ) {
      found.push(`${key} got the outcome of another run`);
    }
    let holder: string | undefined;
    for (const { type, run } of events) {
      if (type === "claimed" && holder !== undefined) {
        found.push(`${key} was claimed by ${run} while ${holder} held it`);
      }
      holder = type === "claimed"
        ? run
        : type === "released"
        ? undefined
        : holder;
    }
  }
  return found;
}

async function waitForTurns(
  store: ScheduledStore,
  count: number,
): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    await store.waitForTurn();
  }
}

async function simulate(
  options: {
    scheduler: fc.Scheduler;
    faults: Fault[];
    attempts: Attempt[];
    timeoutTurns: number;
    ignoresRevisions: boolean;
  },
): Promise<Event[]> {
  const { scheduler, faults, attempts, timeoutTurns, ignoresRevisions } =
    options;
  const store = new ScheduledStore(scheduler, faults, ignoresRevisions);
  const history: Event[] = [];
  const ledgers = ["a", "b", "c"].map((incarnation) =>
    new ClaimLedger({
      store,
      incarnation,
      commitBudget: { perSecond: 1e9, burst: 1e9 },
      claimTimeout: CLAIM_TIMEOUT,
      pause: (duration) =>
        waitForTurns(store, duration === CLAIM_TIMEOUT ? timeoutTurns : 1),
      random: () => 0.5,
      wallClock: () => NOW,
    })
  );
  const done = Promise.all(
    attempts.map((planned, index) =>
      attempt({
        ledgers,
        store,
        history,
        attempt: planned,
        run: `run-${index}`,
      })
    ),
  ).then(() => Promise.all(ledgers.map((ledger) => ledger.waitForDrain())));
  await scheduler.waitFor(done);
  return history;
}

const plans = {
  scheduler: fc.scheduler(),
  /** Turns of the scheduler after which a claim times out: few or many. */
  timeoutTurns: fc.constantFrom(8, 40),
  faults: fc.array(
    fc.constantFrom<Fault>(
      "none",
      "lost_answer",
      "lost_request",
      "late_request",
      "refused",
    ),
    { maxLength: 12 },
  ),
  attempts: fc.array(
    fc.record({
      ledger: fc.nat({ max: 2 }),
      key: fc.constantFrom("key-1", "key-2"),
      end: fc.constantFrom<Attempt["end"]>("record", "release", "crash"),
    }),
    { minLength: 2, maxLength: 8 },
  ),
};

t.test("no request runs twice in any order of events", async (t) => {
  let operations = 0;
  await fc.assert(
    fc.asyncProperty(fc.record(plans), async (plan) => {
      const history = await simulate({ ...plan, ignoresRevisions: false });
      operations += history.length;
      const found = violations(history);
      if (found.length > 0) {
        throw new Error(found.join("; "));
      }
    }),
    { numRuns: RUNS, seed: SEED },
  );
  t.comment(`seed ${SEED}: ${RUNS} histories, ${operations} events`);
  t.pass();
});

t.test("finds violations if the service ignores revisions", async (t) => {
  const outcome = await fc.check(
    fc.asyncProperty(fc.record(plans), async (plan) => {
      const history = await simulate({ ...plan, ignoresRevisions: true });
      return violations(history).length === 0;
    }),
    { numRuns: RUNS, seed: SEED, endOnFailure: true },
  );
  t.ok(outcome.failed);
});
