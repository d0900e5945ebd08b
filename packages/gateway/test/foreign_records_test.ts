import t from "tap";
import { Fixture, storedServer, waitUntil } from "./fixture.ts";

t.test("records of an unknown service leave the servers at their addresses in use", async (t) => {
  // Every server counted as superseded, and every request was refused.
  const fixture = await Fixture.startReady();
  const { store, servers, events } = fixture;
  const startedAt = 2000;
  for (const [index, { port }] of servers.entries()) {
    const record = JSON.parse(
      storedServer(`f${index}`, port, false, startedAt),
    );
    const foreign = JSON.stringify({ ...record, service: "unknown" });
    store.put(`servers/f${index}`, foreign);
  }
  const isKnown = (server: string) =>
    events.some(({ message, context }) =>
      message === "server_changed" && context["server"] === server
    );
  t.ok(await waitUntil(() => isKnown("f0") && isKnown("f1")));
  for (let count = 0; count < 4; count++) {
    const headers = { "x-request": `request-${count}` };
    t.equal((await fixture.call("/calls/x", { headers })).status, 200);
  }
  await fixture.stop();
});
