/**
 * One move as an entry sees it: the record in force, the split of its own
 * requests and its own evidence.
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
import { firstRecord } from "./stored_move.ts";
import type { StoredMove } from "./stored_move.ts";

/** What one request on a move is charged to. */
export type VersionChoice = {
  move: string;
  side: VersionSide;
  version: string;
  /** Version that takes the request if the new one has no room for it. */
  fallback?: string | undefined;
};

/** Splits, counts and stops at once on own evidence. */
export class ServiceMove {
  readonly move: Move;
  readonly #tally = new EvidenceCollector();
  readonly #judge = new MoveJudge();
  readonly #split: VersionSplit;
  #stored: StoredMove;

  constructor(options: { move: Move; now: number; firstRemainder: number }) {
    const { move, now, firstRemainder } = options;
    this.move = move;
    this.#split = new VersionSplit(firstRemainder);
    this.#stored = { revision: 0, record: firstRecord(move, now) };
  }

  get stored(): StoredMove {
    return this.#stored;
  }

  /** Takes over a record unless it is older; true when it is newer. */
  adopt(stored: StoredMove): boolean {
    if (stored.revision <= this.#stored.revision) return false;
    this.#stored = stored;
    return true;
  }

  /** How the move stands; by rule also when no record can be had. */
  effectiveOutcome(now: number): MoveOutcome {
    const { phase } = this.#stored.record;
    const deadline = Date.parse(this.move.deadline);
    return effectiveOutcome({ phase, deadline }, now);
  }

  /** The version of the next request; `now` is the wall clock. */
  choose(now: number, entries: number): VersionChoice {
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

  /** A request that was chosen for a side ended. */
  ended(
    side: VersionSide,
    call: { route: string; failed: boolean; slowness?: number | undefined },
  ): void {
    if (side === "to") this.#split.requestEnded();
    this.#tally.recordCall({ ...call, side });
  }

  /** A chosen request ended without having run. */
  notRun(side: VersionSide): void {
    if (side === "to") this.#split.requestEnded();
  }

  /** Evidence since the last time; stops the new version on it at once. */
  takeEvidence(now: number): RouteEvidence[] {
    const evidence = this.#tally.flush();
    if (this.#judge.observe(evidence, now).kind === "bad") this.#split.stop();
    return evidence;
  }

  status(now: number): MoveStatus {
    const { record } = this.#stored;
    const end = this.effectiveOutcome(now);
    const { name, service, from, to, deadline } = this.move;
    return {
      name,
      service,
      from,
      to,
      share: end === "complete" ? 1 : effectiveShare(record, now),
      state: statusOf(end, record.phase),
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
    const head = [
      `${phase}${reason ? ` (${reason})` : ""}`,
      `driver ${fencing}`,
    ];
    return [...head, ...stopped, ...routes].join("; ");
  }
}

function statusOf(end: MoveOutcome, phase: string): MoveStatus["state"] {
  if (end === "complete") return "complete";
  if (end === "takenBack") return "taken_back";
  return phase === "pending" ? "waiting" : "moving";
}
