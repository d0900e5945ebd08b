/** A server that resets each connection in the middle of its response. @module */
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Responses have no length, so that only the end of the connection ends them. */
export async function startResettingServer(): Promise<{
  url: string;
  close: () => void;
}> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", async () => {
      socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
      await sleep(2);
      socket.write("part of a body");
      socket.resetAndDestroy();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, close: () => server.close() };
}
