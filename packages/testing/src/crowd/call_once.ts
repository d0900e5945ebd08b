/** One request over a connection of its own. @module */
import { connect } from "node:net";
import type { BodyShape } from "./body_shape.ts";
import { writeBytes } from "./crowd.ts";
import type { CrowdTarget } from "./crowd.ts";

/** Milliseconds after which a request counts as not answered. */
const LONG_TIME = 60_000;
/** Status of a response to a request that was served. */
const SERVED = /^HTTP\/1\.1 2\d\d /;

/** Resolves to the bytes of the response, or to the error instead. */
export async function callOnce(
  { host, port, head }: CrowdTarget,
  shape: BodyShape,
): Promise<string> {
  const socket = connect({ host, port, timeout: LONG_TIME });
  socket.on("timeout", () => socket.destroy(new Error("no response")));
  let response = "";
  socket.setEncoding("utf8").on("data", (text: string) => response += text);
  socket.on("error", (error) => response += String(error));
  const closed = new Promise<void>((resolve) => socket.once("close", resolve));
  // The number of the client is only part of the ids of the crowd's requests.
  const start = `${head(-1)}connection: close\r\n${shape.lengthHeader}\r\n\r\n`;
  await writeBytes(socket, Buffer.from(start));
  for (const piece of shape.pieces(true)) {
    if (!await writeBytes(socket, piece)) break;
  }
  await closed;
  return response;
}

/** True if the response to a request is that of a server. */
export function isServed(response: string): boolean {
  return SERVED.test(response);
}
