/** The sessions of one entry by the sidecar's instance name. @module */
import type { SidecarSession } from "./sidecar_session.ts";

/** Opens sessions on demand. */
export abstract class SessionPool {
  /** Undefined when the sidecar is no longer known. */
  abstract session(name: string): SidecarSession | undefined;
}
