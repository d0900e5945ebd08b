/** A violation that a check has found in a history. @module */

/** A guarantee that does not hold for one request. */
export type Violation = {
  check: string;
  marker: string;
  detail: string;
};
