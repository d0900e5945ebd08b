import { spawn } from "node:child_process";
import { once } from "node:events";
import { request } from "node:http";
import { connect } from "node:net";
import { execPath } from "node:process";
import { setTimeout } from "node:timers/promises";
import t from "tap";
import { acceptQueueLength } from "@sycamorepulley/decisions";

const FRONTEND = new URL("../dist/front/http_frontend.js", import.meta.url);
const CORES = 0.25;
const CONNECTIONS = 120;
/** Milliseconds in which connections that have a place are established. */
const CONNECT_TIME = 500;

/** Milliseconds of processor time of a request. */
const PROCESSOR_TIME = 5;
/** New connections a second: twice what the entry handles. */
const CONNECTIONS_PER_SECOND = 2000 / PROCESSOR_TIME;
const OVERLOAD_SECONDS = 4;
/** Milliseconds after which a caller gives up a request that isn't read. */
const PATIENCE = 1000;
/** Fraction of the handled requests whose callers get the response. */
const MINIMUM_SERVED = 0.75;

/**
 * Starts a front end in a child process; returns it and its port. On SIGTERM
 * the child prints how many requests it has handled and how many connections
 * ended unread.
 */
async function startFrontend() {
  const script = `
    import { HeadMemory, MemoryBudget } from "@sycamorepulley/decisions";
    import { RequestMemory } from "@sycamorepulley/receiving";
    import { HttpFrontend } from "${FRONTEND}";
    const requests = new RequestMemory({
      budget: new MemoryBudget(1e8),
      clock: () => performance.now(),
    });
    const heads = {
      memory: new HeadMemory(1e8),
      openBytes: () => requests.openBody(),
    };
    let handled = 0;
    let unread = 0;
    const handle = (_request, response) => {
      handled++;
      const end = performance.now() + ${PROCESSOR_TIME};
      while (performance.now() < end);
      response.end("ok");
    };
    const counters = { accepted: () => {}, unread: () => unread++ };
    const frontend = new HttpFrontend({ handle, counters, heads });
    const address = { host: "127.0.0.1", port: 0 };
    console.log(await frontend.listen(address, ${CORES}));
    process.on("SIGTERM", () => {
      console.log(JSON.stringify({ handled, unread }));
      process.exit();
    });
  `;
  const child = spawn(execPath, ["--input-type=module", "-e", script]);
  const [output] = await once(child.stdout, "data");
  return { child, port: Number(output) };
}

/** Sends a request on a new connection; true if it is served in time. */
function isServed(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(PATIENCE);
    const options = { host: "127.0.0.1", port, agent: false, signal };
    request(options, (response) => {
      response.on("error", () => resolve(false));
      response.on("end", () => resolve(true)).resume();
    }).on("error", () => resolve(false)).end();
  });
}

t.test("most requests that an overloaded entry reads are served", async (t) => {
  // Guards against handling only requests whose callers have given up.
  const { child, port } = await startFrontend();
  const count = CONNECTIONS_PER_SECOND * OVERLOAD_SECONDS;
  const calls: Promise<boolean>[] = [];
  while (calls.length < count) {
    calls.push(isServed(port));
    await setTimeout(1000 / CONNECTIONS_PER_SECOND);
  }
  const served = (await Promise.all(calls)).filter((ok) => ok).length;
  child.kill("SIGTERM");
  const [output] = await once(child.stdout, "data");
  const { handled } = JSON.parse(String(output));
  t.ok(handled < count, `${handled} of ${count} handled`);
  t.ok(served >= MINIMUM_SERVED * handled, `${served} of ${handled} served`);
});

t.test("a connection that ends without a request counts as unread", async (t) => {
  const { child, port } = await startFrontend();
  await isServed(port);
  const socket = connect({ host: "127.0.0.1", port });
  await once(socket, "connect");
  socket.destroy();
  await isServed(port);
  child.kill("SIGTERM");
  const [output] = await once(child.stdout, "data");
  t.same(JSON.parse(String(output)), { handled: 2, unread: 1 });
});

t.test("few connections wait for an entry that does not accept them", async (t) => {
  // Guards against reading only requests whose callers have given up.
  const { child, port } = await startFrontend();
  child.kill("SIGSTOP");
  let established = 0;
  const sockets = Array.from({ length: CONNECTIONS }, () => {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("connect", () => established++);
    socket.on("error", () => {});
    return socket;
  });
  await setTimeout(CONNECT_TIME);
  const length = acceptQueueLength(CORES);
  t.ok(established >= length, `${established} connections`);
  t.ok(established <= 2 * length, `${established} connections`);
  for (const socket of sockets) socket.destroy();
  child.kill("SIGKILL");
  await once(child, "exit");
});

t.test("the queue is shorter on an instance with less processor capacity", (t) => {
  t.equal(acceptQueueLength(4), acceptQueueLength(1));
  t.ok(acceptQueueLength(0.5) < acceptQueueLength(1));
  t.equal(acceptQueueLength(0.01), acceptQueueLength(0.1));
  t.end();
});
