/**
 * The state of one move at one entry: the newest record, how the entry splits
 * its requests between the two versions, and the evidence from its own calls.
 * @module
 */
import {
  effectiveOutcome,
  effectiveShare,
  EvidenceCollector,
  MoveJudge,
  trialRequestsPerEntry,
  VersionSplit,
} from "@sycamorepulley/decisions";
import type {
  MoveOutcome,
  RouteEvidence,
  VersionSide,
} from "@sycamorepulley/decisions";
import type { Move } from "@sycamorepulley/configuration";
import type { MoveStatus } from "@sycamorepulley/store";
import { initialRecord } from "./stored_move.ts";
import type { StoredMove } from "./stored_move.ts";

/** Version chosen for a request, and the move to which its result counts. */
export type VersionChoice = {
  move: string;
  side: VersionSide;
  version: string;
  /** Version that serves the request if the new one has no capacity for it. */
  fallback?: string | undefined;
};

/**
 * Splits the entry's requests between the versions, counts their results, and
 * stops the new version here as soon as the entry's own evidence is against it.
 */
export class ServiceMove {
  readonly move: Move;
  readonly #collector = new EvidenceCollector();
  readonly #judge = new MoveJudge();
  readonly #split: VersionSplit;
  #stored: StoredMove;

  /** `firstRemainder` is random in [0, 1); see {@link VersionSplit}. */
  constructor(options: { move: Move; now: number; firstRemainder: number }) {
    const { move, now, firstRemainder } = options;
    this.move = move;
    this.#split = new VersionSplit(firstRemainder);
    this.#stored = { revision: 0, record: initialRecord(move, now) };
  }

  /** The newest record known here. */
  get stored(): StoredMove {
    return this.#stored;
  }

  /** Adopts a record if it is newer; returns whether it was. */
  adopt(stored: StoredMove): boolean {
    if (stored.revision <= this.#stored.revision) return false;
    this.#stored = stored;
    return true;
  }

  /**
   * Returns the outcome at `now` (wall clock). After the deadline it follows
   * from the last record, also when no newer one can be read.
   */
  effectiveOutcome(now: number): MoveOutcome {
    const { phase } = this.#stored.record;
    const deadline = Date.parse(this.move.deadline);
    return effectiveOutcome({ phase, deadline }, now);
  }

  /** Chooses the version for the next request; `now` is the wall-clock time. */
  chooseVersion(now: number, entries: number): VersionChoice {
    const { record } = this.#stored;
    this.#split.setBounds({
      share: effectiveShare(record, now),
      ...(record.phase === "trial"
        ? {
          trialRequests: trialRequestsPerEntry(record.trialRequests, entries),
        }
        : {}),
    });
    const complete = this.effectiveOutcome(now) === "complete";
    const side = complete ? "to" : this.#split.choose();
    if (side === "from") {
      return { move: this.move.name, side, version: this.move.from };
    }
    const fallback = complete ? undefined : this.move.from;
    return { move: this.move.name, side, version: this.move.to, fallback };
  }

  /** Records the end of a request that ran on the given side. */
  recordCall(
    side: VersionSide,
    call: { route: string; failed: boolean; slowness?: number | undefined },
  ): void {
    if (side === "to") this.#split.recordEnd();
    this.#collector.recordCall({ ...call, side });
  }

  /** Records that a request chosen for a side ended without running. */
  recordNotRun(side: VersionSide): void {
    if (side === "to") this.#split.recordEnd();
  }

  /**
   * Returns the evidence since the last call, and stops the new version at this
   * entry if the evidence shows it to be bad.
   */
  flushEvidence(now: number): RouteEvidence[] {
    const evidence = this.#collector.flush();
    if (this.#judge.observe(evidence, now).kind === "bad") this.#split.stop();
    return evidence;
  }

  status(now: number): MoveStatus {
    const { record } = this.#stored;
    const outcome = this.effectiveOutcome(now);
    const { name, service, from, to, deadline } = this.move;
    return {
      name,
      service,
      from,
      to,
      share: outcome === "complete" ? 1 : effectiveShare(record, now),
      state: stateOf(outcome, record.phase),
      deadline,
      detail: this.#detail(),
    };
  }

  #detail(): string {
    const { phase, reason, evidence, fencing } = this.#stored.record;
    const routes = evidence.map(({ route, from, to }) =>
      `${route}: old ${from.failed}/${from.ended} failed, ` +
      `new ${to.failed}/${to.ended} failed, ${to.slow} slow`
    );
    const stopped = this.#split.stopped ? ["stopped here on own evidence"] : [];
    const summary = [
      `${phase}${reason ? ` (${reason})` : ""}`,
      `driver ${fencing}`,
    ];
    return [...summary, ...stopped, ...routes].join("; ");
  }
}

function stateOf(outcome: MoveOutcome, phase: string): MoveStatus["state"] {
  if (outcome === "complete") return "complete";
  if (outcome === "takenBack") return "taken_back";
  return phase === "pending" ? "waiting" : "moving";
}
