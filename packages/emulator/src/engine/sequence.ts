/** One request inside an emulated engine. @module */

/** Its state changes only in steps of the batch. */
export type Sequence = {
  /** Prompt tokens still to prefill. */
  prefillLeft: number;
  /** Tokens still to generate. */
  outputLeft: number;
  /** Called once for each generated token, in order. */
  onToken: () => void;
};
