/**
 * Advances a roll-out by the evidence and the time that is left.
 *
 * The target gets few requests first, then close to the bound of a version that
 * may be bad, and only in the last steps more than that. These come late and are
 * short: a version may turn bad late, and what it gets until then counts. In the
 * last step it gets all requests while the runs of the old version end, since
 * its servers stop without draining once the roll-out has succeeded.
 *
 * Without traffic there is no evidence, and a version that nobody calls does no
 * harm; so after a delay, a step needs no more runs than there are requests.
 *
 * The evidence may be of a part of the time only, since the entry that granted
 * before was lost with what it knew. Few runs then mean that little is known, and
 * not that there is little traffic: the target gets no more than a version that
 * may be bad until there are enough, and the old version is kept if there is no
 * time for them.
 * @module
 */
import type { CallCounts, MoveVerdict } from "../moves/mod.ts";
import type { RolloutOutcome } from "./rollout.ts";

/** Step of a roll-out. */
export type RolloutStep = "trial" | "bounded" | "quarter" | "half" | "all";

type Stage = {
  step: RolloutStep;
  share: number;
  /** Fraction of the duration after which it may begin. */
  begin: number;
};

/** Fraction of the bound of a version that may be bad, in the first steps. */
const TRIAL_PART = 0.4;
const BOUND_PART = 0.8;
/** Fractions of the duration at which steps begin. */
const BOUND_BEGIN = 0.3;
const LAST_BEGIN = 0.7;
/** Fraction by which a step may be delayed for want of evidence. */
const DELAY = 0.08;
/** Fraction of the duration at which a decision is made. */
const LATEST_DECISION = 0.86;
/** Fraction of the duration until which the last step may take. */
const LAST_END = 0.92;
/** Duration of the steps with a quarter and half of the requests. */
const RAISED_STEP = { fraction: 0.04, maximum: 3000 };
/** Minimum duration of the step with all requests. */
const LAST_STEP = { fraction: 0.05, maximum: 5000 };

/** Ended runs of the target that are enough evidence for the next step. */
const ENOUGH_RUNS = 30;
/** Ended runs that are enough in the step with all requests. */
const ENOUGH_LAST_RUNS = 60;
/** Grants of the service of which the target has to have ended some runs. */
const NOTICEABLE_GRANTS = 20;
/** Evidence against the target from which on it is not given more requests. */
const SUSPICIOUS_EVIDENCE = 10;
/** The same after the loss of a granting entry: runs in progress were lost. */
const SUSPICIOUS_AFTER_LOSS = 3;
/**
 * Evidence against the target below which it may get more than a version that
 * may be bad.
 */
const COMMIT_EVIDENCE = 3;
/** Ended runs of the target that have failures if it is bad. */
const CONCLUSIVE_RUNS = 10;
/** Part of the target's runs that may fail if there is nothing to compare with. */
const TOLERATED_FAILURES = 0.1;
/** Smallest fraction of the requests that the target has to be able to carry. */
const MINIMUM_CAPACITY = 0.5;

/** What the next step depends on. */
export type StepInputs = {
  verdict: MoveVerdict;
  /** Strongest evidence against the target. */
  evidence: number;
  /** Ended runs of the target. */
  targetRuns: number;
  /** Those of them that there is nothing to compare with. */
  uncomparedRuns: CallCounts;
  /** Grants of the service since the order. */
  grants: number;
  /** Share of the requests that the target's servers can carry. */
  capacityShare: number;
  /** Runs of the old version in progress. */
  oldRuns: number;
  /** The target got all the requests that it may get. */
  isExhausted: boolean;
  /** So few requests come that the target may get all of them. */
  isHarmless: boolean;
  /** The target is the established version already. */
  isEstablished: boolean;
};

/** One roll-out, from the order to its outcome. */
export class RolloutSteps {
  readonly #stages: readonly Stage[];
  readonly #orderedAt: number;
  readonly #duration: number;
  readonly #isEvidencePartial: boolean;
  readonly #suspiciousEvidence: number;
  #index = 0;
  #since: number;
  /** Ended runs of the target when the step began. */
  #runsBefore = 0;
  #outcome: RolloutOutcome = "running";
  #isCommitted = false;
  #reason = "no run of the target has ended";

  constructor(
    options: {
      orderedAt: number;
      duration: number;
      exposedShare: number;
      isEvidencePartial: boolean;
      /** Step that another entry had reached; it begins again. */
      resumed?: { step: number; targetRuns: number } | undefined;
      now: number;
    },
  ) {
    const { orderedAt, duration, exposedShare, now } = options;
    this.#isEvidencePartial = options.isEvidencePartial;
    this.#orderedAt = orderedAt;
    this.#duration = duration;
    this.#since = now;
    this.#stages = stagesOf(duration, exposedShare);
    const { resumed } = options;
    const isAfterLoss = this.#isEvidencePartial || resumed !== undefined;
    this.#suspiciousEvidence = isAfterLoss
      ? SUSPICIOUS_AFTER_LOSS
      : SUSPICIOUS_EVIDENCE;
    const { step = 0, targetRuns = 0 } = resumed ?? {};
    this.#index = Math.min(step, this.#stages.length - 1);
    this.#runsBefore = targetRuns;
  }

  get step(): RolloutStep {
    return this.#stages[this.#index]!.step;
  }

  get stepIndex(): number {
    return this.#index;
  }

  /** Evidence of an earlier part of the roll-out was lost. */
  get isEvidencePartial(): boolean {
    return this.#isEvidencePartial;
  }

  /** Share of the requests that the target may get. */
  get share(): number {
    if (this.#outcome === "succeeded") return 1;
    return this.#outcome === "rolled_back"
      ? 0
      : this.#stages[this.#index]!.share;
  }

  /**
   * Whether the target gets all requests from now on, unless evidence against
   * it is found before the old servers stop.
   */
  get isCommitted(): boolean {
    return this.#isCommitted || this.#outcome === "succeeded";
  }

  get outcome(): RolloutOutcome {
    return this.#outcome;
  }

  /** Why it advanced, waits or ended. */
  get reason(): string {
    return this.#reason;
  }

  advance(inputs: StepInputs, now: number): void {
    if (this.#outcome !== "running") return;
    const { verdict } = inputs;
    if (verdict.kind === "bad") {
      this.#end("rolled_back", `${verdict.reason} on route "${verdict.route}"`);
      return;
    }
    const elapsed = this.#elapsed(now);
    if (inputs.isEstablished) this.#confirm(inputs, elapsed);
    else if (elapsed >= 1) this.#end("rolled_back", "time limit passed");
    else if (elapsed >= LATEST_DECISION) this.#decide(inputs, now);
    else if (this.step === "all") this.#finish(inputs, now);
    else this.#raise(inputs, now);
  }

  /** Fraction of the duration that has passed. */
  #elapsed(now: number): number {
    return (now - this.#orderedAt) / this.#duration;
  }

  /** Ends a roll-out to the version that all requests are sent to anyway. */
  #confirm({ capacityShare }: StepInputs, elapsed: number): void {
    if (elapsed < BOUND_BEGIN) return;
    if (capacityShare > 0) {
      this.#end("succeeded", "the target is the established version");
    } else if (elapsed >= LATEST_DECISION) {
      this.#end("rolled_back", "the target has no servers");
    }
  }

  #raise(inputs: StepInputs, now: number): void {
    const next = this.#stages[this.#index + 1]!;
    const elapsed = this.#elapsed(now);
    const stepTime = this.share > this.#stages[1]!.share
      ? timeOf(RAISED_STEP, this.#duration)
      : 0;
    if (elapsed < next.begin || now - this.#since < stepTime) return;
    const obstacle = this.#obstacle(inputs, next.share);
    const isDelayed = elapsed >= next.begin + DELAY;
    if (obstacle !== undefined && !(obstacle.isOptional && isDelayed)) {
      this.#reason = obstacle.reason;
      return;
    }
    this.#enter(this.#index + 1, inputs, now);
    this.#reason = `${inputs.targetRuns} runs of the target are sound`;
  }

  /** What keeps the target from getting `share` of the requests. */
  #obstacle(
    inputs: StepInputs,
    share: number,
  ): { reason: string; isOptional: boolean } | undefined {
    const { capacityShare, targetRuns, grants } = inputs;
    if (capacityShare <= 0) {
      return { reason: "the target has no servers", isOptional: false };
    }
    if (this.#isSuspicious(inputs)) {
      return { reason: "evidence against the target", isOptional: false };
    }
    if (targetRuns === 0 && grants >= NOTICEABLE_GRANTS) {
      const reason = "no run of the target has ended";
      return { reason, isOptional: false };
    }
    if (capacityShare < share) {
      const reason = "the target's servers can't carry more";
      return { reason, isOptional: capacityShare >= MINIMUM_CAPACITY };
    }
    if (targetRuns >= ENOUGH_RUNS) return undefined;
    const reason = "few runs of the target have ended";
    return { reason, isOptional: !this.#needsRuns(inputs, share) };
  }

  /** Whether few runs keep the target from getting `share` of the requests. */
  #needsRuns({ isHarmless }: StepInputs, share: number): boolean {
    return this.#isEvidencePartial && !isHarmless &&
      share > this.#stages[1]!.share;
  }

  /** Succeeds once the target has carried all requests for a while. */
  #finish(inputs: StepInputs, now: number): void {
    if (this.#isSuspicious(inputs)) {
      this.#reason = "evidence against the target";
      return;
    }
    if (inputs.isExhausted && !this.#isCommitted) {
      if (inputs.evidence >= COMMIT_EVIDENCE) return;
      this.#isCommitted = true;
    }
    if (now - this.#since < timeOf(LAST_STEP, this.#duration)) return;
    if (inputs.targetRuns - this.#runsBefore < ENOUGH_LAST_RUNS) {
      this.#reason = "few runs of the target have ended";
      return;
    }
    if (inputs.oldRuns > 0) {
      this.#reason =
        `${inputs.oldRuns} runs of the old version are in progress`;
      return;
    }
    this.#end("succeeded", "the target carried all requests");
  }

  /** Decides when no time is left for another step. */
  #decide(inputs: StepInputs, now: number): void {
    if (this.step === "all") {
      if (
        now - this.#since < timeOf(LAST_STEP, this.#duration) &&
        this.#elapsed(now) < LAST_END
      ) return;
      if (this.#isSuspicious(inputs)) {
        this.#end("rolled_back", "evidence against the target");
      } else this.#end("succeeded", "the target carried all requests");
      return;
    }
    const obstacle = this.#obstacle(inputs, MINIMUM_CAPACITY);
    if (obstacle !== undefined && !obstacle.isOptional) {
      this.#end("rolled_back", obstacle.reason);
      return;
    }
    this.#enter(this.#stages.length - 1, inputs, now);
  }

  #enter(index: number, { targetRuns }: StepInputs, now: number): void {
    this.#index = index;
    this.#since = now;
    this.#runsBefore = targetRuns;
  }

  #end(outcome: RolloutOutcome, reason: string): void {
    this.#outcome = outcome;
    this.#reason = reason;
  }

  /** Without anything to compare with, frequent failures have to suffice. */
  #isSuspicious({ evidence, uncomparedRuns }: StepInputs): boolean {
    const { ended, failed } = uncomparedRuns;
    return evidence >= this.#suspiciousEvidence ||
      ended >= CONCLUSIVE_RUNS && failed > TOLERATED_FAILURES * ended;
  }
}

function stagesOf(duration: number, exposedShare: number): Stage[] {
  const raised = timeOf(RAISED_STEP, duration) / duration;
  return [
    { step: "trial", share: TRIAL_PART * exposedShare, begin: 0 },
    { step: "bounded", share: BOUND_PART * exposedShare, begin: BOUND_BEGIN },
    { step: "quarter", share: 0.25, begin: LAST_BEGIN - 2 * raised },
    { step: "half", share: 0.5, begin: LAST_BEGIN - raised },
    { step: "all", share: 1, begin: LAST_BEGIN },
  ];
}

function timeOf(
  { fraction, maximum }: { fraction: number; maximum: number },
  duration: number,
): number {
  return Math.min(maximum, fraction * duration);
}
