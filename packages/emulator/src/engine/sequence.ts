/** A request as the emulated engine's batch processes it. @module */

/** Token counts of one request; only a step of the batch changes them. */
export type Sequence = {
  remainingPrefillTokens: number;
  remainingOutputTokens: number;
  /** Called once for each generated token, in order. */
  onToken: () => void;
};
