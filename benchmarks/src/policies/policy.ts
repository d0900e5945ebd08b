/** Interface of the policies, which decide where and when requests run. @module */
import type { Outcome } from "../model/outcome.ts";

/** The callers, as a policy notifies them about their requests. */
export type Caller = {
  notifyFirstToken(outcome: Outcome): void;
  notifyFinished(outcome: Outcome): void;
  /** There will be no response to the request. */
  notifyRefused(outcome: Outcome, reason: string): void;
};

/** Base class of all policies. */
export abstract class Policy {
  /** Handles a request that has arrived at its entry. */
  abstract submit(outcome: Outcome): void;
  /** Cancels a request whose caller has given up. */
  abstract cancel(outcome: Outcome): void;
}
