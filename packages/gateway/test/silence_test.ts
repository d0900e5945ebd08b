import t from "tap";
import { Fixture, route, storedConfiguration, waitUntil } from "./fixture.ts";

t.test("silent servers get a request no oftener than its route allows", async (t) => {
  // The last server that a route allows was left for a further one.
  const fixture = await Fixture.startReady();
  const only = route({ prefix: "/only/", maximumServers: 1 });
  fixture.store.put("configuration", storedConfiguration(2, [only]));
  const known = async () => (await fixture.call("/calls/")).status === 404;
  t.ok(await waitUntil(known));
  for (const server of fixture.servers) server.respond = () => {};
  const seen = await fixture.call("/only/");
  t.equal(seen.status, 504);
  const received = fixture.servers.flatMap(({ receivedRequests: received }) =>
    received
  )
    .filter(({ target }) => target === "/only/");
  t.equal(received.length, 1);
  await fixture.stop();
});
