/**
 * The versions of one service at the entry that grants for it: which of them a
 * request may be sent to, and what is concluded of the roll-out.
 *
 * A version that is not established gets a bounded share, whether its order is
 * known or not. One that was rolled back gets nothing until another order names
 * it. After a success the old version gets nothing either, since its servers
 * stop without draining.
 * @module
 */
import { incarnationOf, isLater } from "../discovery/mod.ts";
import type { ServerRecord } from "../discovery/mod.ts";
import type { RunOutcome } from "../dispatch/grant_request.ts";
import type { StreamTiming } from "../dispatch/pooled_server.ts";
import type {
  RolloutBounds,
  RolloutOutcome,
  RolloutReport,
  RolloutState,
} from "./rollout.ts";
import type { RolloutHandover } from "./rollout_handover.ts";
import { RolloutEvidence } from "./rollout_evidence.ts";
import type { ComparedRun } from "./rollout_evidence.ts";
import { RolloutSteps } from "./rollout_steps.ts";
import { trialServers } from "./trial_servers.ts";
import { VersionExposure } from "./version_exposure.ts";
import { VersionStandings } from "./version_standings.ts";
import type { Standing } from "./version_standings.ts";

const DEFAULT_BOUNDS: RolloutBounds = { exposedShare: 0.1, exposedSlack: 50 };
/** Part of the exposed share that a version without an order may get. */
const UNORDERED_PART = 0.5;
/** Milliseconds between two evaluations. */
const EVALUATION_INTERVAL = 100;
/** Part of the target's slots that may be used, so that no request waits. */
const USABLE_SLOTS = 0.9;
/** Milliseconds until some run of the target has to have ended. */
const SILENCE_LIMIT = 2000;
/** Milliseconds in which the peak of runs in progress decays to 1/e. */
const PEAK_TIME_CONSTANT = 10_000;
/**
 * Milliseconds after an order until which no other entry can have granted a
 * noticeable part of the exposure.
 */
const ORDER_DELAY = 1000;

/**
 * Standings of the servers that a request may be sent to, the preferred ones
 * first.
 */
export type VersionPreference = readonly (readonly Standing[])[];

const ESTABLISHED: readonly Standing[] = ["established"];
const EXPOSED: readonly Standing[] = ["exposed"];
const RETIRED: readonly Standing[] = ["retired"];

/** A handover, and when it was received. */
type KeptHandover = { handover: RolloutHandover; at: number };

/** Versions and the roll-out of one service. */
export class ServiceRollout {
  readonly #versions = new VersionStandings();
  readonly #evidence = new RolloutEvidence();
  #bounds = DEFAULT_BOUNDS;
  #fraction = 1;
  #state: RolloutState | undefined;
  /** Absent while no roll-out is driven here. */
  #steps: RolloutSteps | undefined;
  #exposure: VersionExposure | undefined;
  #records: readonly ServerRecord[] = [];
  /** Servers of the target that are used, by incarnation. */
  #trialServers: ReadonlySet<string> = new Set();
  /** They may be out of reach, so that the others are used as well. */
  #areTrialServersSilent = false;
  #begunAt = -Infinity;
  /** Start of the observation, as if it had not been interrupted. */
  #observedSince = -Infinity;
  #evaluatedAt = -Infinity;
  #peak = { runs: 0, at: 0 };
  /** What another entry, or this one, knew when it granted last. */
  #kept: KeptHandover | undefined;

  setBounds(bounds: RolloutBounds): void {
    this.#bounds = bounds;
  }

  /** Sets the fraction of the fleet's requests that are granted here. */
  setFraction(fraction: number): void {
    this.#fraction = fraction;
    this.#exposure?.setFraction(fraction);
    // What another entry concludes meanwhile is not known here.
    if (fraction > 0) return;
    const now = Math.max(this.#evaluatedAt, this.#begunAt);
    this.#keep(this.#ownHandover(now), now);
    this.#steps = undefined;
  }

  setServers(records: readonly ServerRecord[], now: number): void {
    this.#records = records;
    this.#versions.setServers(records);
    this.#updateVersions(now);
  }

  /** Sets what is known of the roll-out; `undefined` if there is no order. */
  setState(state: RolloutState | undefined, now: number): void {
    const isSame = isSameOrder(state, this.#state);
    this.#state = state;
    if (!isSame) this.#startOver(now);
    this.#adoptOutcome();
    this.#updateVersions(now);
  }

  /** What a successor of the granting entry can continue from, if anything. */
  handover(now: number): RolloutHandover | undefined {
    if (this.#steps !== undefined) return this.#ownHandover(now);
    const kept = this.#keptOfOrder;
    if (kept === undefined || this.#state?.outcome !== "running") return;
    return { ...kept.handover, age: ageOf(kept, now) };
  }

  /** Keeps what another entry knows, and continues from it if it knows more. */
  takeOver(handover: RolloutHandover, now: number): void {
    if (!this.#keep(handover, now)) return;
    const state = this.#state;
    if (this.#steps?.outcome !== "running" || state === undefined) return;
    const isKnown = now - this.#observedSince >= handover.observedFor;
    if (!isKnown && this.#keptOfOrder !== undefined) {
      this.#steps = this.#begin(state, now);
    }
  }

  /** Evaluates the evidence and advances the roll-out. */
  update(now: number): void {
    if (now - this.#evaluatedAt < EVALUATION_INTERVAL) return;
    this.#evaluatedAt = now;
    this.#updateVersions(now);
    this.#updatePeak(now);
    if (this.#state?.outcome !== "running" || this.#fraction <= 0) return;
    if (this.#isRejected) return;
    this.#steps ??= this.#begin(this.#state, now);
    if (this.#steps.outcome !== "running") return;
    this.#advance(this.#steps, now);
    this.#adoptOutcome();
  }

  /** What is concluded; `undefined` if there is no order. */
  report(now: number): RolloutReport | undefined {
    this.update(now);
    if (this.#state === undefined) return undefined;
    const { service, target } = this.#state.order;
    return {
      service,
      target,
      outcome: this.#outcome,
      reason: this.#reason,
      share: this.#outcome === "running" ? this.#share : shareOf(this.#outcome),
      evidence: this.#evidence.totals,
    };
  }

  /**
   * The servers that the next request may be sent to; `undefined` if it may be
   * sent to all.
   */
  preference(now: number): VersionPreference | undefined {
    const versions = this.#versions;
    if (versions.areAllEstablished) return undefined;
    if (!versions.has("established")) {
      // A version of which nothing is known is better than no response.
      if (versions.has("exposed")) return [EXPOSED];
      return versions.has("retired") ? [RETIRED] : [];
    }
    const isAllowed = versions.has("exposed") &&
      (this.#steps?.isCommitted ||
        this.#exposure?.mayGrant(this.#share, now));
    if (!isAllowed) return [ESTABLISHED];
    if (this.#steps === undefined) return [["established", "exposed"]];
    return this.#share >= 1 ? [EXPOSED] : [EXPOSED, ESTABLISHED];
  }

  /** Whether a server may be sent a request with this preference. */
  isAllowed(
    record: ServerRecord,
    preference: VersionPreference | undefined,
  ): boolean {
    if (preference === undefined) return true;
    const standing = this.#versions.standingOf(record.version);
    if (!preference.some((standings) => standings.includes(standing))) {
      return false;
    }
    return standing !== "exposed" || this.#isInTrial(record);
  }

  /** Whether a server may be sent requests now or later. */
  isEligible({ version }: Pick<ServerRecord, "version">): boolean {
    const standing = this.#versions.standingOf(version);
    if (standing === "rejected") return false;
    return standing !== "retired" || !this.#versions.has("established");
  }

  /** Factor of a server's slots that count as capacity. */
  usablePart({ version }: Pick<ServerRecord, "version">): number {
    const versions = this.#versions;
    if (versions.areAllEstablished) return 1;
    if (!this.isEligible({ version })) return 0;
    const standing = versions.standingOf(version);
    if (standing !== "exposed" || !versions.has("established")) return 1;
    const share = this.#share;
    if (share >= 1) return 1;
    const slots = versions.slots("established") * share / (1 - share);
    return Math.min(1, slots / versions.slots("exposed"));
  }

  /**
   * Whether a server of the target is used at the present share. The others stay
   * idle, so that those used are as busy as they would be with all requests.
   */
  #isInTrial(record: ServerRecord): boolean {
    if (this.#steps === undefined || this.#share >= 1) return true;
    if (this.#areTrialServersSilent) return true;
    if (!this.#versions.has("established")) return true;
    return this.#trialServers.has(incarnationOf(record));
  }

  /** Counts a grant, with the run that begins. */
  recordGrant(id: string, run: ComparedRun, now: number): void {
    const isExposed = this.#versions.standingOf(run.version) === "exposed";
    this.#exposure?.recordGrant(isExposed, this.#share, now);
    this.#evidence.recordStart(id, run);
  }

  /** Counts a run that another entry has granted. */
  adopt(id: string, run: ComparedRun): void {
    this.#evidence.recordAdopted(id, run);
  }

  recordResponseStart(id: string, latency: number): void {
    this.#evidence.recordResponseStart(id, latency);
  }

  recordStreamTiming(id: string, timing: StreamTiming): void {
    this.#evidence.recordStreamTiming(id, timing);
  }

  recordEnd(id: string, outcome: RunOutcome, now: number): void {
    this.#evidence.recordEnd(id, outcome, now);
  }

  /** Removes a run that shows nothing. */
  remove(id: string): void {
    this.#evidence.remove(id);
  }

  /** Removes the runs of an entry, which has disconnected. */
  removeEntry(entry: string): void {
    this.#evidence.removeEntry(entry);
  }

  /** Target of the roll-out that runs. */
  get #target(): string | undefined {
    return this.#state?.outcome === "running"
      ? this.#state.order.target
      : undefined;
  }

  /** Milliseconds that the roll-out may take. */
  get #duration(): number {
    return this.#state?.order.duration ?? 0;
  }

  /** A conclusion of another entry is final also here. */
  get #outcome(): RolloutOutcome {
    const outcome = this.#state?.outcome ?? "running";
    if (outcome !== "running") return outcome;
    return this.#isRejected ? "rolled_back" : this.#steps?.outcome ?? outcome;
  }

  get #reason(): string {
    if (this.#state?.outcome !== "running") return "concluded";
    if (this.#steps !== undefined) return this.#steps.reason;
    return this.#isRejected
      ? "concluded before another entry granted"
      : "another entry grants the requests";
  }

  /** Whether the target of the roll-out that runs was found to be bad here. */
  get #isRejected(): boolean {
    const target = this.#target;
    return target !== undefined &&
      this.#versions.standingOf(target) === "rejected";
  }

  /** Share of the requests that a version which is not established may get. */
  get #share(): number {
    return this.#steps?.share ?? UNORDERED_PART * this.#bounds.exposedShare;
  }

  /** Drops what belongs to an earlier order. */
  #startOver(now: number): void {
    this.#steps = undefined;
    const target = this.#target;
    if (target === undefined) return;
    this.#versions.expose(target);
    if (this.#fraction > 0) this.#steps = this.#begin(this.#state!, now);
  }

  #begin({ order, orderedAt }: RolloutState, now: number): RolloutSteps {
    const { duration, target } = order;
    const kept = this.#keptOfOrder;
    const handover = kept?.handover;
    this.#begunAt = now;
    this.#observedSince = now - (handover?.observedFor ?? 0);
    this.#versions.update(target, now);
    this.#compare(target);
    // Another entry may have granted, and used the slack, before.
    const isLate = now - orderedAt >= ORDER_DELAY;
    this.#exposure = new VersionExposure({
      bounds: this.#bounds,
      fraction: this.#fraction,
      since: this.#observedSince,
      until: orderedAt + duration,
      hasSlack: handover?.hasSlack ?? !isLate,
      granted: kept === undefined
        ? this.#exposure?.granted ?? 0
        : grantedUntil(kept, now),
      total: handover?.total ?? 0,
    });
    const { exposedShare } = this.#bounds;
    return new RolloutSteps({
      orderedAt,
      duration,
      exposedShare,
      isEvidencePartial: handover?.isEvidencePartial ?? isLate,
      resumed: handover && {
        step: handover.step,
        targetRuns: this.#evidence.targetRuns,
      },
      now,
    });
  }

  #compare(target: string): void {
    this.#evidence.compare(this.#versions.established, target);
    const kept = this.#keptOfOrder;
    if (kept !== undefined) this.#evidence.restore(kept.handover);
  }

  /** What this entry knows of the roll-out that it drives. */
  #ownHandover(now: number): RolloutHandover | undefined {
    const steps = this.#steps;
    const exposure = this.#exposure;
    if (this.#state?.outcome !== "running" || this.#isRejected) {
      return undefined;
    }
    if (steps?.outcome !== "running" || exposure === undefined) {
      return undefined;
    }
    const { order: { service, target, position } } = this.#state;
    return {
      service,
      target,
      revision: position.revision,
      age: 0,
      observedFor: Math.max(0, now - this.#observedSince),
      isEvidencePartial: steps.isEvidencePartial,
      step: steps.stepIndex,
      share: steps.share,
      granted: exposure.granted,
      total: exposure.total,
      hasSlack: exposure.hasSlack,
      ...this.#evidence.state(),
    };
  }

  /** Keeps a handover unless more is known; returns true if it did. */
  #keep(handover: RolloutHandover | undefined, now: number): boolean {
    if (handover === undefined) return false;
    const known = this.#keptOfOrder?.handover;
    if (known !== undefined && known.observedFor > handover.observedFor) {
      return false;
    }
    this.#kept = { handover, at: now };
    return true;
  }

  /** The kept handover, if it belongs to the present order. */
  get #keptOfOrder(): KeptHandover | undefined {
    const order = this.#state?.order;
    const handover = this.#kept?.handover;
    const isSame = handover?.target === order?.target &&
      handover?.revision === order?.position.revision;
    return isSame ? this.#kept : undefined;
  }

  #advance(steps: RolloutSteps, now: number): void {
    const verdict = this.#evidence.observe(now);
    const { established } = this.#versions;
    const isEstablished = established === this.#target;
    steps.advance({
      verdict,
      evidence: this.#evidence.strength,
      targetRuns: this.#evidence.targetRuns,
      uncomparedRuns: this.#evidence.uncomparedRuns,
      grants: this.#exposure?.total ?? 0,
      capacityShare: this.#capacityShare(isEstablished),
      oldRuns: isEstablished || established === undefined
        ? 0
        : this.#evidence.running(established),
      isExhausted: this.#exposure?.isExhausted(steps.share, now) ?? false,
      isHarmless: this.#exposure?.coversAll(this.#duration, now) ?? true,
      isEstablished,
    }, now);
  }

  /** Share of the requests that the target's servers can carry. */
  #capacityShare(isEstablished: boolean): number {
    const slots = this.#versions.slots(
      isEstablished ? "established" : "exposed",
    );
    if (slots === 0) return 0;
    const usable = USABLE_SLOTS * slots * this.#fraction;
    return Math.min(1, usable / Math.max(1, this.#peak.runs));
  }

  #adoptOutcome(): void {
    if (this.#state === undefined) return;
    const { target } = this.#state.order;
    const outcome = this.#outcome;
    if (outcome === "rolled_back") this.#versions.reject(target);
    // Until the outcome is known to all, the old servers are only left alone.
    if (this.#state.outcome === "succeeded") this.#versions.establish(target);
  }

  #updateVersions(now: number): void {
    const target = this.#target;
    this.#versions.update(target, now);
    const { established } = this.#versions;
    if (this.#steps === undefined) this.#evidence.setEstablished(established);
    else if (
      target !== undefined &&
      !this.#evidence.updateEstablished(established, target)
    ) this.#compare(target);
    if (!this.#versions.has("exposed")) return;
    this.#updateTrialServers(now);
    this.#exposure ??= new VersionExposure({
      bounds: this.#bounds,
      fraction: this.#fraction,
      since: now,
      hasSlack: true,
    });
  }

  #updateTrialServers(now: number): void {
    this.#areTrialServersSilent = this.#evidence.targetRuns === 0 &&
      now - this.#begunAt >= SILENCE_LIMIT;
    const share = this.#share;
    if (this.#steps === undefined || share >= 1) return;
    const isExposed = ({ version }: ServerRecord) =>
      this.#versions.standingOf(version) === "exposed";
    const records = this.#records.filter(isExposed);
    this.#trialServers = trialServers(records, share);
  }

  #updatePeak(now: number): void {
    const { runs, at } = this.#peak;
    const decayed = runs * Math.exp(-(now - at) / PEAK_TIME_CONSTANT);
    this.#peak = { runs: Math.max(this.#evidence.size, decayed), at: now };
  }
}

function isSameOrder(
  state: RolloutState | undefined,
  other: RolloutState | undefined,
): boolean {
  if (state === undefined || other === undefined) return state === other;
  const { target, position } = state.order;
  return target === other.order.target &&
    !isLater(position, other.order.position) &&
    !isLater(other.order.position, position);
}

/** Milliseconds since a handover stated how things were. */
function ageOf({ handover, at }: KeptHandover, now: number): number {
  return handover.age + Math.max(0, now - at);
}

/** Grants of the target, with those that it may have got since the handover. */
function grantedUntil(kept: KeptHandover, now: number): number {
  const { granted, total, share, observedFor } = kept.handover;
  if (observedFor <= 0) return granted;
  return granted + share * total * ageOf(kept, now) / observedFor;
}

function shareOf(outcome: RolloutOutcome): number {
  return outcome === "succeeded" ? 1 : 0;
}
