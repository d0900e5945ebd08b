/** What a backend server states about itself in its responses. @module */
import type { ResponseHead } from "../backend/backend_connection.ts";
import type { HeaderNames } from "../front/header_names.ts";

/** Value of the header of a server that leaves; others mean nothing. */
const LEAVING = "1";

/** True if the response says that its server leaves. */
export function statesLeaving(
  { headers }: ResponseHead,
  names: HeaderNames,
): boolean {
  const value = headers[names.serverLeaving.toLowerCase()];
  return value !== undefined && String(value).trim() === LEAVING;
}
