/** Events that a task receives while its request waits and runs. @module */
import type {
  FailedMessage,
  HttpHeaders,
  SidecarRefusalReason,
} from "@sycamorepulley/protocol";

/** `sidecar` is the name of the instance that the event came from. */
export type RequestEvent =
  & { bytes?: Uint8Array | undefined }
  & (
    | { kind: "grant"; sidecar: string; grant: number }
    | {
      kind: "refuse";
      sidecar: string;
      reason: SidecarRefusalReason;
      retryAfter?: number | undefined;
    }
    | { kind: "linkLost"; sidecar: string }
    | { kind: "head"; sidecar: string; status: number; headers: HttpHeaders }
    | { kind: "chunk"; sidecar: string; sequence: number; bytes: Uint8Array }
    | { kind: "end"; sidecar: string; chunks: number; length: number }
    | {
      kind: "failed";
      sidecar: string;
      ran: FailedMessage["ran"];
      reason: FailedMessage["reason"];
    }
    | { kind: "callerDisconnected" }
    /** Displaced at the entry by a waiting request of a higher tier. */
    | { kind: "evicted" }
  );
