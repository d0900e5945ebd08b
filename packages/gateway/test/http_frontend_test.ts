import { once } from "node:events";
import { connect } from "node:net";
import t from "tap";
import { HttpFrontend } from "../src/front/http_frontend.ts";

/** More bytes than the kernel buffers of a connection. */
const LARGE_BODY = "x".repeat(20_000_000);

t.test("a complete response that its caller has not read yet is not idle", async (t) => {
  // Guards against closing the connection before the response is handed over.
  let ended = () => {};
  const hasEnded = new Promise<void>((resolve) => ended = resolve);
  const frontend = new HttpFrontend((_request, response) => {
    response.end(LARGE_BODY);
    ended();
  }, { accepted: () => {}, unread: () => {} });
  const port = await frontend.listen({ host: "127.0.0.1", port: 0 }, 1);
  const socket = connect(port, "127.0.0.1");
  let size = 0;
  socket.on("data", (chunk: Buffer) => size += chunk.length);
  socket.on("error", () => {});
  socket.pause();
  const idle = connect(port, "127.0.0.1");
  await once(idle, "connect");
  const idleClosed = once(idle, "close");
  socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
  await hasEnded;
  frontend.startDraining();
  frontend.stopListening();
  frontend.closeIdleConnections();
  idle.resume();
  await idleClosed;
  socket.resume();
  while (size < LARGE_BODY.length && !socket.closed) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  t.ok(size > LARGE_BODY.length, `${size} bytes`);
  t.equal(frontend.unsentConnections, 0);
  frontend.closeAllConnections();
});
