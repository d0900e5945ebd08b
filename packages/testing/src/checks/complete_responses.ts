/**
 * Checks that every caller gets the complete response to its own request.
 * @module
 */
import { isCompleteText } from "@sycamorepulley/emulator";
import type { CallRecord } from "../history/call_record.ts";
import type { Violation } from "./violation.ts";

/**
 * Finds responses that looked complete, but were incomplete or belonged to
 * another request.
 */
export function checkCompleteResponses(calls: CallRecord[]): Violation[] {
  return calls.flatMap((call) => {
    const detail = describeFault(call);
    return detail === undefined
      ? []
      : [{ check: "complete responses", marker: call.marker, detail }];
  });
}

function describeFault({ marker, outcome }: CallRecord): string | undefined {
  if (outcome.type !== "answered" || outcome.status >= 300) {
    return undefined;
  }
  if (!outcome.ended) {
    return "the stream ended without an error and without its end marker";
  }
  if (!isCompleteText(outcome.text, marker)) {
    return `not the complete response to this request: ${
      outcome.text.slice(0, 80)
    }`;
  }
  return undefined;
}
