/**
 * `rollouts`: shows the progress of each roll-out, as gateways report it.
 * @module
 */
import type { RolloutProgressStatus } from "@sycamorepulley/store";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";
import { formatStateCounts } from "../output/state_counts.ts";
import {
  formatDuration,
  formatPercentage,
  formatTable,
} from "../output/table.ts";

type Evidence = NonNullable<
  RolloutProgressStatus["conclusion"]
>["evidence"][number];

/** One roll-out over all gateways that report it. */
type RolloutSummary = {
  /** As the granting entry reports it, or any gateway if none grants. */
  rollout: RolloutProgressStatus;
  /** Gateway that reported it. */
  gateway: string;
  /** Gateways in each state. */
  states: Record<string, number>;
};

const HEADING = [
  "SERVICE",
  "TARGET",
  "STATE",
  "SHARE",
  "AGE",
  "LIMIT",
  "STORED",
  "REPORTED BY",
  "REASON",
];

/**
 * `gateways`: host and port at which each serves its metrics. Gateways may
 * report different states for a moment, so the number in each is shown.
 */
export async function rollouts(
  context: Context,
  gateways: readonly string[],
): Promise<CommandResult> {
  if (gateways.length === 0) {
    throw new UsageError("name the gateways as HOST:PORT of their metrics");
  }
  const results = await Promise.all(
    gateways.map(async (gateway) => ({
      gateway,
      result: await context.statusSource.fetchRollouts(gateway),
    })),
  );
  const summaries = new Map<string, RolloutSummary>();
  const warnings: string[] = [];
  for (const { gateway, result } of results) {
    if (result.isErr) warnings.push(`${gateway}: no answer (${result.error})`);
    else {
      const { instance, rollouts } = result.value;
      for (const rollout of rollouts) summarise(summaries, rollout, instance);
    }
  }
  const isUnanswered = warnings.length === gateways.length;
  return {
    exitCode: isUnanswered ? EXIT_CODE.unreachable : EXIT_CODE.ok,
    text: isUnanswered ? [] : textOf([...summaries.values()]),
    warnings,
    json: { rollouts: [...summaries.values()], warnings },
  };
}

function summarise(
  summaries: Map<string, RolloutSummary>,
  rollout: RolloutProgressStatus,
  gateway: string,
): void {
  const key = `${rollout.service} ${rollout.target}`;
  const summary = summaries.get(key) ?? { rollout, gateway, states: {} };
  summaries.set(key, summary);
  summary.states[rollout.state] = (summary.states[rollout.state] ?? 0) + 1;
  if (rollout.conclusion === undefined) return;
  summary.rollout = rollout;
  summary.gateway = gateway;
}

function textOf(summaries: readonly RolloutSummary[]): string[] {
  if (summaries.length === 0) return ["no gateway reports a roll-out"];
  const evidence = summaries.flatMap(({ rollout }) =>
    (rollout.conclusion?.evidence ?? [])
      .flatMap((route) => evidenceRows(rollout, route))
  );
  const table = formatTable([HEADING, ...summaries.map(row)]);
  if (evidence.length === 0) return table;
  const heading = ["SERVICE", "ROUTE", "VERSION", "ENDED", "FAILED", "SLOW"];
  return [...table, "", ...formatTable([heading, ...evidence])];
}

function row({ rollout, gateway, states }: RolloutSummary): string[] {
  const { service, target, age, duration, stored, conclusion } = rollout;
  return [
    service,
    target,
    formatStateCounts(states),
    conclusion === undefined ? "?" : formatPercentage(conclusion.share),
    formatDuration(age),
    formatDuration(duration),
    stored ? "yes" : "no",
    gateway,
    conclusion?.reason ?? "",
  ];
}

function evidenceRows(
  { service, target }: RolloutProgressStatus,
  { route, from, to }: Evidence,
): string[][] {
  return ([["other", from], [target, to]] as const)
    .map((
      [version, { ended, failed, slow }],
    ) => [service, route, version, ...[ended, failed, slow].map(String)]);
}
