/** Whether a reservation can be taken in at all. @module */
import type {
  ReserveMessage,
  SidecarRefusalReason,
} from "@sycamorepulley/protocol";

/** What this sidecar stands for and how it is. */
export type SidecarCondition = {
  service: string;
  leaving: boolean;
  healthy: boolean;
  versionStopped: boolean;
};

/** The reason that speaks against `reserve`, if any. */
export function objection(
  reserve: ReserveMessage,
  condition: SidecarCondition,
): SidecarRefusalReason | undefined {
  // An entry that works from a stale list still comes; it must learn at once
  // that this server leaves, and not by waiting in vain.
  if (condition.leaving) return "leaving";
  if (reserve.service !== condition.service) return "wrong_service";
  if (!condition.healthy) return "unhealthy";
  if (condition.versionStopped) return "version_stopped";
  return undefined;
}
