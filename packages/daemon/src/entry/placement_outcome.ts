/** How the search for a backend server ends. @module */
import type { Refusal } from "./refusal.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/** How a placement ended. With `handedOver` the request was dispatched. */
export type PlacementOutcome =
  | { kind: "handedOver"; session: SidecarSession }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "callerDisconnected" };
