/** What an entry writes of itself into the store. @module */
import * as v from "valibot";
import type { Member } from "./fleet_state.ts";

const memberSchema = v.object({
  instance: v.string(),
  host: v.string(),
  port: v.number(),
});

/** `undefined` for a value of another writer. */
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
