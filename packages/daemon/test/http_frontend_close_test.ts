import { connect } from "node:net";
import t from "tap";
import { ampleHeads } from "../../receiving/test/ample_heads.ts";
import { startHttpFrontend } from "../src/entry/http_frontend.ts";

/** More bytes than the kernel buffers of a connection. */
const LARGE_BODY = "x".repeat(20_000_000);

t.test("closing the front end leaves a response that is being read", async (t) => {
  // Guards against taking a connection for idle whose response isn't sent.
  let ended = () => {};
  const hasEnded = new Promise<void>((resolve) => ended = resolve);
  const frontend = await startHttpFrontend({
    address: { host: "127.0.0.1", port: 0 },
    maxHeaderBytes: 16_384,
    requestTimeout: 60_000,
    maxConnections: 10,
    heads: ampleHeads(),
    processors: 1,
    isDraining: () => true,
    handle: (_request, response) => {
      response.end(LARGE_BODY);
      ended();
      return Promise.resolve();
    },
  });
  const socket = connect(frontend.port, "127.0.0.1");
  let size = 0;
  socket.on("data", (chunk: Buffer) => size += chunk.length);
  socket.on("error", () => {});
  socket.pause();
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write("GET /services/a/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
  await hasEnded;
  const frontendClosed = frontend.close();
  socket.resume();
  await closed;
  t.ok(size > LARGE_BODY.length, `${size} bytes`);
  await frontendClosed;
});
