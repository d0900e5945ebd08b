/**
 * Which versions of a service may be sent requests, by what is known of its
 * roll-out. The granting entry decides by the same rules, but an entry also
 * refuses a grant that was given before it learned of an outcome.
 * @module
 */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { KnownRollout, KnownRollouts } from "./known_rollouts.ts";

/** Excludes the servers of versions that may not be sent requests. */
export class VersionFilter {
  readonly #rollouts: KnownRollouts;
  readonly #isCutOff: () => boolean;

  constructor(options: {
    rollouts: KnownRollouts;
    /** True once outcomes may exist that this entry can't learn. */
    isCutOff: () => boolean;
  }) {
    this.#rollouts = options.rollouts;
    this.#isCutOff = options.isCutOff;
  }

  /** Returns those of the usable servers that may be sent requests. */
  select(usable: readonly ServerRecord[]): ServerRecord[] {
    const servers = usable.filter(({ service, version }) =>
      !this.#rollouts.isRejected(service, version)
    );
    const rollouts = new Map(
      this.#rollouts.active().map((rollout) => [rollout.service, rollout]),
    );
    if (rollouts.size === 0) return servers;
    const hasTarget = new Set<string>();
    const hasOther = new Set<string>();
    for (const { service, version } of servers) {
      const isTarget = rollouts.get(service)?.target === version;
      (isTarget ? hasTarget : hasOther).add(service);
    }
    return servers.filter(({ service, version }) => {
      const rollout = rollouts.get(service);
      if (rollout === undefined) return true;
      return rollout.target === version
        ? this.#allowsTarget(rollout, hasOther.has(service))
        : allowsOther(rollout, hasTarget.has(service));
    });
  }

  /** `hasOther`: servers of another version are usable. */
  #allowsTarget({ progress }: KnownRollout, hasOther: boolean): boolean {
    if (!hasOther || progress === "succeeded") return true;
    return progress !== "pending" && !this.#isCutOff();
  }
}

/**
 * The platform stops the servers of other versions after a success. A version
 * that is deployed after that has no order yet if none of the target is left.
 */
function allowsOther({ progress }: KnownRollout, hasTarget: boolean): boolean {
  const isCompleted = progress === "completing" || progress === "succeeded";
  return !isCompleted || !hasTarget;
}
