/** `moves`: how far each move has come, as the processes state it. @module */
import type { MoveStatus } from "@sycamorepulley/store";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { readFleet } from "../fleet/read_fleet.ts";
import type { CommandResult } from "../output/command_result.ts";
import { platformFailure } from "../output/platform_failure.ts";
import { table } from "../output/table.ts";

type MoveSummary = {
  move: MoveStatus;
  /** Processes in each state. */
  states: Record<string, number>;
  leastShare: number;
  mostShare: number;
};

/** Processes may differ for seconds; the states are counted, not guessed. */
export async function moves(context: Context): Promise<CommandResult> {
  const fleet = await readFleet(context);
  if (fleet.isErr) {
    return platformFailure(fleet.error);
  }
  const stated = fleet.value.flatMap(({ answer }) =>
    answer.isOk ? answer.value.moves ?? [] : []
  );
  const summaries = summarise(stated);
  return {
    exitCode: EXIT_CODE.ok,
    text: summaries.length === 0 ? ["no process states a move"] : table([
      ["MOVE", "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "DETAIL"],
      ...summaries.map(row),
    ]),
    json: { moves: summaries },
  };
}

function summarise(stated: MoveStatus[]): MoveSummary[] {
  const summaries = new Map<string, MoveSummary>();
  for (const move of stated) {
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
    ? percent(mostShare)
    : `${percent(leastShare)} to ${percent(mostShare)}`;
  return [
    move.name,
    move.service,
    move.from,
    move.to,
    stateText(states),
    share,
    move.deadline,
    move.detail ?? "",
  ];
}

function stateText(states: Record<string, number>): string {
  const entries = Object.entries(states);
  return entries.length === 1
    ? entries[0]?.[0] ?? ""
    : entries.map(([state, count]) => `${state} in ${count}`).join(", ");
}

function percent(share: number): string {
  return `${Number((share * 100).toFixed(1))}%`;
}
