import { spawn } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { execPath } from "node:process";
import { setTimeout } from "node:timers/promises";
import t from "tap";
import { acceptQueueLength } from "../src/front/accept_queue.ts";

const FRONTEND = new URL("../dist/front/http_frontend.js", import.meta.url);
const CORES = 0.25;
const CONNECTIONS = 120;
/** Milliseconds in which connections that have a place are established. */
const CONNECT_TIME = 500;

/** Starts a front end in a child process; returns it and its port. */
async function startFrontend() {
  const script = `
    import { HttpFrontend } from "${FRONTEND}";
    const frontend = new HttpFrontend(() => {});
    const address = { host: "127.0.0.1", port: 0 };
    console.log(await frontend.listen(address, ${CORES}));
  `;
  const child = spawn(execPath, ["--input-type=module", "-e", script]);
  const [output] = await once(child.stdout, "data");
  return { child, port: Number(output) };
}

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
