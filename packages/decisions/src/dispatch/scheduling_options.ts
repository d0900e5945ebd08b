/** What switches on the decisions for uneven load. @module */

/**
 * When these decisions apply to a service: never, once its servers report how
 * long work takes on their machines, or always.
 */
export type AdaptiveMode = "off" | "reported" | "on";

/** Set by operators for all services. */
export type SchedulingOptions = {
  adaptive: AdaptiveMode;
  /** Whether grants are divided between organisations; they are if absent. */
  organisationShares?: boolean | undefined;
  /** Whether refused callers get appointments; they don't if absent. */
  appointments?: boolean | undefined;
  /**
   * Price of a megabyte that is sent between data centres, in values of a
   * timely response of mean size on the most urgent route of its service.
   */
  transferPrice?: number | undefined;
};

/** Options with which services are scheduled as if there were none. */
export const DEFAULT_SCHEDULING: SchedulingOptions = { adaptive: "off" };
