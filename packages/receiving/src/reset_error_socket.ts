/**
 * Connections on which a reset is always an error.
 *
 * undici completes a response without a length at the end of its connection,
 * and also at a reset: it takes `ECONNRESET` for an end, and Node.js reports a
 * reset that arrives together with bytes as an end.
 * @module
 */
import { judgeConnectionEnd } from "@sycamorepulley/decisions";
import type { ResetDetection } from "@sycamorepulley/decisions";
import { buildConnector, errors } from "undici";
import { ResetDetectingSocket } from "./reset_detecting_socket.ts";

/** Bytes that are read in advance. */
const READ_AHEAD_BYTES = 64 * 1024;

/** Replaces the end of a connection by an error unless it is a regular end. */
class ResetErrorSocket extends ResetDetectingSocket {
  readonly #detection: () => ResetDetection;

  constructor(detection: () => ResetDetection) {
    super({ readableHighWaterMark: READ_AHEAD_BYTES });
    this.#detection = detection;
  }

  override emit(event: string | symbol, ...values: unknown[]): boolean {
    if (event !== "end") return super.emit(event, ...values);
    this.recordEnd();
    const verdict = judgeConnectionEnd(this.connectionEnd, this.#detection());
    if (verdict === "regular") return super.emit(event, ...values);
    this.destroy(new errors.SocketError(`${verdict} end of the connection`));
    return true;
  }

  override _destroy(
    error: NodeJS.ErrnoException | null,
    callback: (error?: Error | null) => void,
  ): void {
    const isReset = error?.code === "ECONNRESET" && error.syscall === "read";
    super._destroy(
      isReset ? new errors.SocketError("the connection was reset") : error,
      callback,
    );
  }
}

/**
 * Returns a connector for undici; `timeout` in milliseconds. `detection`:
 * whether resets are known to show on this machine.
 */
export function connectorWithResetErrors(
  timeout: number,
  detection: () => ResetDetection,
): buildConnector.connector {
  const connectWithTls = buildConnector({ timeout });
  return (options, callback) => {
    if (options.protocol === "https:") connectWithTls(options, callback);
    else openConnection(options, { timeout, detection }, callback);
  };
}

function openConnection(
  { hostname, port }: buildConnector.Options,
  { timeout, detection }: {
    timeout: number;
    detection: () => ResetDetection;
  },
  callback: buildConnector.Callback,
): void {
  const socket = new ResetErrorSocket(detection);
  const fail = (error: Error) => callback(error, null);
  socket.setTimeout(timeout, () => {
    const detail = `no connection to ${hostname}:${port} in ${timeout} ms`;
    socket.destroy(new errors.ConnectTimeoutError(detail));
  });
  socket.once("error", fail);
  socket.once("connect", () => {
    socket.setTimeout(0);
    socket.off("error", fail);
    callback(null, socket);
  });
  socket.setNoDelay(true);
  socket.connect({ host: hostname, port: Number(port) || 80 });
}
