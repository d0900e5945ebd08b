/** A way of deciding where and when requests run. @module */
import type { Outcome } from "../model/outcome.ts";

/** How a policy tells a caller about its request. */
export type Caller = {
  firstToken(outcome: Outcome): void;
  finished(outcome: Outcome): void;
  /** The request will not be answered. */
  refused(outcome: Outcome, reason: string): void;
};

/** See the module. */
export abstract class Policy {
  /** A request reached the entry that it names. */
  abstract arrive(outcome: Outcome): void;
  /** The caller has given up on the request. */
  abstract abandon(outcome: Outcome): void;
}
