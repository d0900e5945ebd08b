/** An ask of this entry, and the answer that its request waits for. @module */
import type {
  GrantRefusalReason,
  GrantRequest,
  RefusalInputs,
} from "@sycamorepulley/decisions";

/** What a request is told; `by` is the entry that decided. */
export type GrantResult =
  | { kind: "grant"; server: string; by: string }
  | {
    kind: "refuse";
    reason: GrantRefusalReason;
    retryAfter: number;
    seen: RefusalInputs;
    by: string;
  };

/** An ask until its request has ended. */
export class HeldAsk {
  readonly ask: GrantRequest;
  readonly resolve: (answer: GrantResult) => void;
  server: string | undefined;
  by = "";

  constructor(ask: GrantRequest, resolve: (answer: GrantResult) => void) {
    this.ask = ask;
    this.resolve = resolve;
  }
}
