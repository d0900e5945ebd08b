import type { SuspectStatement } from "@sycamorepulley/decisions";
import { EventLog } from "../src/mod.ts";
import { StoreContact } from "../src/state/store_contact.ts";
import { RecordingSink } from "./recording_sink.ts";

/** A quarantine as entries store it. */
export const QUARANTINE: SuspectStatement = {
  fingerprint: "fatal",
  kind: "quarantined",
  revision: 3,
  crashes: 3,
  quarantines: 1,
  soleSuspectCrashes: 1,
  servers: [],
  remaining: 60_000,
};

/** One entry's contact with the store, which logs nowhere. */
export function createContact(
  clock: () => number = () => performance.now(),
): StoreContact {
  const log = new EventLog({ instance: "a", sink: new RecordingSink(), clock });
  return new StoreContact({ log, clock });
}
