/** The record under which an entry registers in the store. @module */
import * as v from "valibot";
import type { Member } from "./fleet_state.ts";

const memberSchema = v.object({
  instance: v.string(),
  host: v.string(),
  port: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(1),
    v.maxValue(65_535),
  ),
});

/** Returns `undefined` for a value that no entry wrote. */
export function decodeMember(value: string): Member | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch {
    return undefined;
  }
  const member = v.safeParse(memberSchema, parsed);
  return member.success ? member.output : undefined;
}
