import { createServer } from "node:net";
import { once } from "node:events";
import t from "tap";
import { findFreePort, loopbackHost } from "../src/mod.ts";

/** One more than the largest process id on Linux. */
const PROCESS_IDS = 4_194_304;

// Guards against a gateway that can't listen, as another test took its port.
t.test("a host for each process", (t) => {
  const processIds = [1, 2, 257, 65_537, 1_000_000, PROCESS_IDS - 1];
  const hosts = new Set(processIds.map(loopbackHost));
  t.equal(hosts.size, processIds.length);
  t.notOk(hosts.has("127.0.0.1"));
  t.end();
});

// Guards against two servers of one test at the same port.
t.test("no port is given twice", async (t) => {
  const host = loopbackHost(1);
  const ports = await Promise.all(
    Array.from({ length: 200 }, () => findFreePort(host)),
  );
  t.equal(new Set(ports).size, ports.length);
});

// Guards against a server of another host that takes the port.
t.test("a port is free on its own host", async (t) => {
  const host = loopbackHost(PROCESS_IDS - 1);
  const port = await findFreePort(host);
  for (const address of ["127.0.0.1", "127.0.0.2", host]) {
    const server = createServer().listen(port, address);
    await once(server, "listening");
    t.teardown(() => server.close());
  }
});
