import t from "tap";
import { Fixture, route, storedConfiguration, waitUntil } from "./fixture.ts";

t.test("a request goes to no more silent servers than its route allows", async (t) => {
  // Guards against a retry after the last server that the route allows.
  const fixture = await Fixture.startReady();
  const only = route({ prefix: "/only/", maximumServers: 1 });
  fixture.store.put("configuration", storedConfiguration(2, [only]));
  const isConfigured = async () =>
    (await fixture.call("/calls/")).status === 404;
  t.ok(await waitUntil(isConfigured));
  for (const server of fixture.servers) server.respond = () => {};
  const response = await fixture.call("/only/");
  t.equal(response.status, 504);
  const received = fixture.servers.flatMap(({ receivedRequests }) =>
    receivedRequests
  )
    .filter(({ target }) => target === "/only/");
  t.equal(received.length, 1);
  await fixture.stop();
});
