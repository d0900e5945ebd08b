/** What a check found wrong in a history. @module */

/** One broken promise. */
export type Violation = {
  check: string;
  marker: string;
  detail: string;
};
