import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import t from "tap";
import { HttpClient } from "../src/http_client.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

for (const ending of ["end", "reset"] as const) {
  // Guards against an empty response that looks whole.
  t.test(`a call whose response stops in its head by ${ending} fails`, async (t) => {
    for (let length = 0; length < HEAD.length; length++) {
      const server = createServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => {
          socket.write(HEAD.slice(0, length));
          if (ending === "end") socket.end();
          else socket.resetAndDestroy();
        });
      });
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      const client = new HttpClient({ url: `http://127.0.0.1:${port}` });
      const call = { step: "read", method: "GET", path: "/" } as const;
      t.ok((await client.call(call)).isErr);
      await client.close();
      server.close();
    }
  });
}
