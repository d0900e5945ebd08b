import { connect } from "node:net";
import { setTimeout } from "node:timers/promises";
import t from "tap";
import { acceptQueueLength } from "@sycamorepulley/decisions";
import { Fleet } from "../src/mod.ts";

const CONNECTIONS = 400;
/** Milliseconds in which connections that have a place are established. */
const CONNECT_TIME = 500;

t.test("few connections wait for an entry that does not accept them", async (t) => {
  // Guards against reading only requests whose callers have given up.
  const fleet = await Fleet.start({ entries: 1, backends: [] });
  t.teardown(() => fleet.kill());
  const entry = fleet.entries[0]!;
  const { hostname: host, port } = new URL(entry.url);
  entry.process.sendSignal("SIGSTOP");
  let established = 0;
  const sockets = Array.from({ length: CONNECTIONS }, () => {
    const socket = connect({ host, port: Number(port) });
    socket.on("connect", () => established++);
    socket.on("error", () => {});
    return socket;
  });
  await setTimeout(CONNECT_TIME);
  const length = acceptQueueLength(1);
  t.ok(established >= length, `${established} connections`);
  t.ok(established <= 2 * length, `${established} connections`);
  for (const socket of sockets) socket.destroy();
  entry.process.sendSignal("SIGCONT");
  await entry.waitUntilReady();
});
