import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { listen } from "../src/listen.ts";

const HOST = "127.0.0.1";

// Guards against a process that ends for a port that is taken for a moment.
t.test("an address that is in use for a moment is waited for", async (t) => {
  const before = createServer();
  await new Promise<void>((resolve) => before.listen(0, HOST, resolve));
  const { port } = before.address() as AddressInfo;
  const inUse: number[] = [];
  const server = createServer();
  const listening = listen(server, { host: HOST, port }, {
    onInUse: (address) => inUse.push(address.port),
  });
  await sleep(250);
  t.strictSame(inUse, [port]);
  before.close();
  t.equal(await listening, port);
  server.close();
});

t.test("an address of another machine is an error at once", async (t) => {
  const listening = listen(createServer(), { host: "192.0.2.1", port: 0 }, {
    onInUse: () => t.fail("it is not in use"),
  });
  await t.rejects(listening, { code: "EADDRNOTAVAIL" });
});
