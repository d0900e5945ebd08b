/** `moves`: shows the progress of each move, as processes report it. @module */
import type { MoveStatus } from "@sycamorepulley/store";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { readFleet } from "../fleet/read_fleet.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { formatPercentage, formatTable } from "../output/table.ts";
import { formatStateCounts } from "../output/state_counts.ts";

/** A move over all processes that report it. */
type MoveSummary = {
  move: MoveStatus;
  /** Number of processes in each state. */
  states: Record<string, number>;
  /** Smallest reported fraction of the traffic that the new version gets. */
  leastShare: number;
  /** Largest reported fraction. */
  mostShare: number;
};

/**
 * Processes may report different states of a move for seconds, so the number of
 * processes in each state is shown.
 */
export async function moves(context: Context): Promise<CommandResult> {
  const fleet = await readFleet(context);
  if (fleet.isErr) {
    return platformFailure(fleet.error);
  }
  const reported = fleet.value.flatMap(({ result }) =>
    result.isOk ? result.value.moves ?? [] : []
  );
  const summaries = summarise(reported);
  return {
    exitCode: EXIT_CODE.ok,
    text: summaries.length === 0 ? ["no process reports a move"] : formatTable([
      ["MOVE", "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "DETAIL"],
      ...summaries.map(row),
    ]),
    json: { moves: summaries },
  };
}

function summarise(reported: MoveStatus[]): MoveSummary[] {
  const summaries = new Map<string, MoveSummary>();
  for (const move of reported) {
    const summary = summaries.get(move.name) ??
      { move, states: {}, leastShare: 1, mostShare: 0 };
    summaries.set(move.name, summary);
    summary.states[move.state] = (summary.states[move.state] ?? 0) + 1;
    summary.leastShare = Math.min(summary.leastShare, move.share);
    summary.mostShare = Math.max(summary.mostShare, move.share);
  }
  return [...summaries.values()];
}

function row({ move, states, leastShare, mostShare }: MoveSummary): string[] {
  const share = leastShare === mostShare
    ? formatPercentage(mostShare)
    : `${formatPercentage(leastShare)} to ${formatPercentage(mostShare)}`;
  return [
    move.name,
    move.service,
    move.from,
    move.to,
    formatStateCounts(states),
    share,
    move.deadline,
    move.detail ?? "",
  ];
}
