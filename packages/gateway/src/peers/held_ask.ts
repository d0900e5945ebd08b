/** An ask of this entry, and the answer that its request waits for. @module */
import type { Ask, AskRefusal, RefusalInputs } from "@sycamorepulley/decisions";

/** What a request is told; `by` is the entry that decided. */
export type GrantAnswer =
  | { kind: "grant"; server: string; by: string }
  | {
    kind: "refuse";
    reason: AskRefusal;
    retryAfter: number;
    seen: RefusalInputs;
    by: string;
  };

/** An ask until its request has ended. */
export class HeldAsk {
  readonly ask: Ask;
  readonly resolve: (answer: GrantAnswer) => void;
  server: string | undefined;
  by = "";

  constructor(ask: Ask, resolve: (answer: GrantAnswer) => void) {
    this.ask = ask;
    this.resolve = resolve;
  }
}
