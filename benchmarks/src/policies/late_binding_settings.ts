/** The decisions that the ablations turn off, one at a time. @module */

/** Which decisions are in use; {@link allDecisions} has all of them. */
export type LateBindingSettings = {
  /** Reservations placed at once; `undefined` for planned waves. */
  fixedReservations: number | undefined;
  tiers: boolean;
  fairQueueing: boolean;
  prefixAffinity: boolean;
  /** Maximum sequences at each engine; `undefined` for an adaptive limit. */
  fixedLimit: number | undefined;
  /** Reservations expire when the first token can't meet its goal any more. */
  firstTokenBound: boolean;
  /** Service times are estimated longer than the mean when checking deadlines. */
  serviceTimeMargin: boolean;
  /** Failing servers are ejected. */
  ejection: boolean;
  /** Requests that are suspected of crashing engines are quarantined. */
  quarantine: boolean;
  /** Maximum number of reservations that wait at one sidecar. */
  queueCapacity: number;
};

/** All decisions, as in the product. */
export const allDecisions: LateBindingSettings = {
  fixedReservations: undefined,
  tiers: true,
  fairQueueing: true,
  prefixAffinity: true,
  fixedLimit: undefined,
  firstTokenBound: true,
  serviceTimeMargin: true,
  ejection: true,
  quarantine: true,
  queueCapacity: 2000,
};
