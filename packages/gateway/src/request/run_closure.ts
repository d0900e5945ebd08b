/** Why the gateway ends a run whose response is not complete. @module */

/** What ended the run. */
export type RunClosureCause =
  /** The caller disconnected. */
  | "caller_left"
  /** The deadline of the request passed. */
  | "deadline"
  /** This process ends. */
  | "stopping"
  /** The gateway failed. */
  | "fault"
  /** Another run of the request has sent a part of the response, or may. */
  | "superseded";

/** What the gateway knew when it ended a run. */
export type RunClosure = {
  cause: RunClosureCause;
  evidence: string;
  /** Milliseconds from the observation to the end of the run. */
  evidenceAge: number;
};
