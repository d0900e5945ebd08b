/** Checks moves: each starts at the live version, one per service. @module */
import type { ConfigurationObjects, Move } from "../objects.ts";
import type { Findings } from "./findings.ts";

/** A move to be checked, its index in `moves`, and where to report problems. */
type MoveCheck = {
  move: Move;
  index: number;
  objects: ConfigurationObjects;
  findings: Findings;
};

/**
 * Checks every move. A move whose deadline has passed is over: it may stay in
 * the configuration unchanged. The deadline of a new or edited move must be in
 * the future, otherwise the move would be over before it starts.
 */
export function checkMoves(
  objects: ConfigurationObjects,
  options: {
    now: number;
    before: ConfigurationObjects | undefined;
    findings: Findings;
  },
): void {
  const { now, before, findings } = options;
  const unfinished = new Map<string, string>();
  objects.moves.forEach((move, index) => {
    const check = { move, index, objects, findings };
    checkReferences(check);
    if (Date.parse(move.deadline) <= now) {
      checkUnchanged(check, before);
      return;
    }
    checkFromVersion(check);
    checkNoOtherUnfinishedMove(check, unfinished.get(move.service));
    unfinished.set(move.service, move.name);
  });
}

function checkReferences(check: MoveCheck): void {
  const { move, index, objects, findings } = check;
  findings.addDanglingReference({
    path: ["moves", index, "service"],
    kind: "service",
    name: move.service,
    known: new Set(objects.services.map((service) => service.name)),
  });
  const versions = objects.versions.filter((version) =>
    version.service === move.service
  );
  const known = new Set(versions.map((version) => version.name));
  for (const field of ["from", "to"] as const) {
    const path = ["moves", index, field];
    const kind = `version of "${move.service}" named`;
    if (!known.has(move[field])) {
      findings.add({
        path,
        detail: `there is no ${kind} "${move[field]}"`,
        mend: `add the version or name one of: ${[...known].join(", ")}`,
      });
    }
  }
  if (move.from === move.to) {
    findings.add({
      path: ["moves", index, "to"],
      detail: "from and to name the same version",
      mend: "name the new version in to",
    });
  }
}

function checkUnchanged(
  check: MoveCheck,
  before: ConfigurationObjects | undefined,
): void {
  const { move, index, findings } = check;
  const published = before?.moves.find((other) => other.name === move.name);
  if (JSON.stringify(published) === JSON.stringify(move)) {
    return;
  }
  findings.add({
    path: ["moves", index, "deadline"],
    detail: `the deadline ${move.deadline} has passed`,
    mend: "set a deadline in the future or remove the move",
  });
}

function checkFromVersion(check: MoveCheck): void {
  const { move, index, objects, findings } = check;
  const from = objects.versions.find((version) =>
    version.service === move.service && version.name === move.from
  );
  if (from !== undefined && !from.live) {
    findings.add({
      path: ["moves", index, "from"],
      detail:
        `version "${move.from}" is not live, so it has no traffic to give`,
      mend: "move from the live version, or remove a move that is done",
    });
  }
}

function checkNoOtherUnfinishedMove(
  check: MoveCheck,
  other: string | undefined,
): void {
  const { move, index, findings } = check;
  if (other !== undefined) {
    findings.add({
      path: ["moves", index, "service"],
      detail: `move "${other}" of service "${move.service}" is unfinished too`,
      mend: "wait for one to end, or remove one of the two",
    });
  }
}
