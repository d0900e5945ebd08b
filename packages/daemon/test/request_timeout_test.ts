import { once } from "node:events";
import { connect } from "node:net";
import t from "tap";
import { ampleHeads } from "../../receiving/test/ample_heads.ts";
import { startHttpFrontend } from "../src/entry/http_frontend.ts";

// Guards against a stop that waits for a body that never ends.
t.test("a request that never becomes whole is ended", async (t) => {
  let isOpen = false;
  const frontend = await startHttpFrontend({
    address: { host: "127.0.0.1", port: 0 },
    maxHeaderBytes: 16_384,
    requestTimeout: 500,
    maxConnections: 10,
    heads: ampleHeads(),
    processors: 1,
    isDraining: () => false,
    handle: async (request) => {
      isOpen = true;
      request.on("error", () => {});
      await new Promise((resolve) => request.resume().once("close", resolve));
      isOpen = false;
    },
  });
  const socket = connect(frontend.port, "127.0.0.1");
  socket.write(
    "POST /services/a/ HTTP/1.1\r\nHost: a.example\r\n" +
      "content-length: 10\r\n\r\nshort",
  );
  const [response] = await once(socket, "data");
  t.match(String(response), /^HTTP\/1.1 408 /);
  await once(socket, "close");
  t.notOk(isOpen);
  await frontend.close();
});
