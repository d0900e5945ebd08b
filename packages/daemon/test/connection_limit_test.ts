import { once } from "node:events";
import { connect } from "node:net";
import t from "tap";
import { ampleHeads } from "../../receiving/test/ample_heads.ts";
import { startHttpFrontend } from "../src/entry/http_frontend.ts";

const MAX_CONNECTIONS = 2;

// Guards against callers without a connection for as long as others stay.
t.test("a new connection replaces one that sends no request", async (t) => {
  let replaced = 0;
  const frontend = await startHttpFrontend({
    address: { host: "127.0.0.1", port: 0 },
    maxHeaderBytes: 16_384,
    requestTimeout: 60_000,
    maxConnections: MAX_CONNECTIONS,
    onReplaced: () => replaced++,
    heads: ampleHeads(),
    processors: 1,
    isDraining: () => false,
    handle: (_request, response) => {
      response.end("served");
      return Promise.resolve();
    },
  });
  const open = async () => {
    const socket = connect(frontend.port, "127.0.0.1");
    await once(socket, "connect");
    return socket;
  };
  const [first, second] = [await open(), await open()];
  const closed = once(first.resume(), "close");
  const newest = await open();
  await closed;
  t.equal(replaced, 1);
  newest.write("GET /services/a/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
  const [response] = await once(newest, "data");
  t.match(String(response), "served");
  for (const socket of [second, newest]) socket.destroy();
  await frontend.close();
});
