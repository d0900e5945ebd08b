/** Access to an entry's sessions by the sidecar's instance name. @module */
import type { SidecarSession } from "./sidecar_session.ts";

/** Opens sessions on demand. */
export abstract class SessionPool {
  /** Returns undefined if the sidecar is no longer known. */
  abstract session(name: string): SidecarSession | undefined;
}
