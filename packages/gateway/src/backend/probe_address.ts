/** A connection attempt that shows whether a host can be reached. @module */
import { connect } from "node:net";
import type { ServerReachability } from "@sycamorepulley/decisions";

/** Error codes of a network that has no path to the host. */
const UNREACHABLE_CODES: readonly string[] = [
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ETIMEDOUT",
];

/**
 * Connects, and closes the connection without sending anything. Resolves to
 * `unanswered` after `timeout` milliseconds. A local failure, such as a lack of
 * file descriptors, says nothing of the host, which then counts as reachable.
 */
export function probeAddress(
  options: { host: string; port: number; timeout: number },
): Promise<ServerReachability> {
  const { host, port, timeout } = options;
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (reachability: ServerReachability) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(reachability);
    };
    // After a pause of this process, the timer is due before the response of
    // the host is read, which happens in the next phase of the event loop.
    const timer = setTimeout(
      () => setImmediate(() => finish("unanswered")),
      timeout,
    );
    socket.once("connect", () => finish("reachable"));
    socket.once("error", (error: NodeJS.ErrnoException) => {
      finish(reachabilityAfter(error.code));
    });
  });
}

function reachabilityAfter(errorCode: string | undefined): ServerReachability {
  if (errorCode === "ECONNREFUSED") return "refused";
  return UNREACHABLE_CODES.includes(errorCode ?? "")
    ? "unanswered"
    : "reachable";
}
