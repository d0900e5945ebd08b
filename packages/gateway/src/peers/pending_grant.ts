/** Grant requests of this entry, and their results. @module */
import type {
  GrantRefusalReason,
  GrantRequest,
  RefusalInputs,
} from "@sycamorepulley/decisions";
import type { RunLocation } from "./interrupted_runs.ts";
import type { ReceivedLoad } from "./reported_load_message.ts";

/** Result of a grant request; `by` is the entry that decided. */
export type GrantResult =
  | { kind: "grant"; server: string; by: string }
  | {
    kind: "refuse";
    reason: GrantRefusalReason;
    retryAfter: number;
    inputs: RefusalInputs;
    by: string;
  };

/** A grant request of this entry, kept until the caller's request has ended. */
export class PendingGrant {
  readonly request: GrantRequest;
  readonly resolve: (result: GrantResult) => void;
  /** The granted server, and when it was granted. */
  location: RunLocation | undefined;
  grantedAt = Infinity;
  by = "";
  /** What the server reported with its response, until it is passed on. */
  load: ReceivedLoad | undefined;

  constructor(request: GrantRequest, resolve: (result: GrantResult) => void) {
    this.request = request;
    this.resolve = resolve;
  }

  /** Returns the report of the server once. */
  takeLoad(): ReceivedLoad | undefined {
    const { load } = this;
    this.load = undefined;
    return load;
  }
}
