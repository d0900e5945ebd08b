/** Checks whether the sidecar can accept a reservation. @module */
import type {
  ReserveMessage,
  SidecarRefusalReason,
} from "@sycamorepulley/protocol";

/** The sidecar's service and current state. */
export type SidecarState = {
  service: string;
  draining: boolean;
  healthy: boolean;
  versionStopped: boolean;
};

/** Returns the reason to refuse `reserve`, if there is one. */
export function refusalReason(
  reserve: ReserveMessage,
  state: SidecarState,
): SidecarRefusalReason | undefined {
  // An entry with an outdated instance list still sends reservations. Refusing
  // them at once lets it choose another server without waiting.
  if (state.draining) return "leaving";
  if (reserve.service !== state.service) return "wrong_service";
  if (!state.healthy) return "unhealthy";
  if (state.versionStopped) return "version_stopped";
  return undefined;
}
