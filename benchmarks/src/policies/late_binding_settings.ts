/** What the ablations turn off, one at a time. @module */

/** The whole set of decisions is {@link allDecisions}. */
export type LateBindingSettings = {
  /** Reservations placed at once; planned in waves when absent. */
  reservations: number | undefined;
  tiers: boolean;
  fairQueueing: boolean;
  prefixAffinity: boolean;
  /** Sequences at once on each engine; adapted when absent. */
  fixedLimit: number | undefined;
  /** Waiting ends when the first token can't come within its goal. */
  firstTokenBound: boolean;
  /** What must fit a deadline is taken longer than the mean. */
  serviceTimeMargin: boolean;
  ejection: boolean;
  suspects: boolean;
  /** Most reservations that wait at one sidecar. */
  queueCapacity: number;
};

/** See the module. */
export const allDecisions: LateBindingSettings = {
  reservations: undefined,
  tiers: true,
  fairQueueing: true,
  prefixAffinity: true,
  fixedLimit: undefined,
  firstTokenBound: true,
  serviceTimeMargin: true,
  ejection: true,
  suspects: true,
  queueCapacity: 2000,
};
