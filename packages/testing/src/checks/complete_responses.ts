/** Every caller gets the whole answer to its own request. @module */
import { isCompleteText } from "@sycamorepulley/emulator";
import type { CallRecord } from "../history/call_record.ts";
import type { Violation } from "./violation.ts";

/** Finds answers that passed for whole and were not, or were another's. */
export function checkCompleteResponses(calls: CallRecord[]): Violation[] {
  return calls.flatMap((call) => {
    const detail = fault(call);
    return detail === undefined
      ? []
      : [{ check: "whole answers", marker: call.marker, detail }];
  });
}

function fault({ marker, outcome }: CallRecord): string | undefined {
  if (outcome.type !== "answered" || outcome.status >= 300) {
    return undefined;
  }
  if (!outcome.ended) {
    return "the stream closed in good order without its end marker";
  }
  if (!isCompleteText(outcome.text, marker)) {
    return `not the whole answer to this request: ${outcome.text.slice(0, 80)}`;
  }
  return undefined;
}
