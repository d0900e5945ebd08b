/** Reports the problems of a file to the operator. @module */
import { describeProblem } from "@sycamorepulley/configuration";
import type { Problem } from "@sycamorepulley/configuration";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";

/** Returns one line for each problem, and their number. */
export function problemsResult(problems: Problem[]): CommandResult {
  const noun = problems.length === 1 ? "problem" : "problems";
  return {
    exitCode: EXIT_CODE.refused,
    text: [],
    warnings: [
      ...problems.map(describeProblem),
      `${problems.length} ${noun}; nothing was published.`,
    ],
    json: { problems },
  };
}
