import t from "tap";
import { configuration, Fixture, route, until } from "./fixture.ts";

t.test("silent servers get a request no oftener than its route allows", async (t) => {
  // The last server that a route allows was left for a further one.
  const fixture = await Fixture.ready();
  const only = route({ prefix: "/only/", maximumServers: 1 });
  fixture.store.put("configuration", configuration(2, [only]));
  const known = async () => (await fixture.call("/calls/")).status === 404;
  t.ok(await until(known));
  for (const server of fixture.servers) server.answer = () => {};
  const seen = await fixture.call("/only/");
  t.equal(seen.status, 504);
  const received = fixture.servers.flatMap(({ received }) => received)
    .filter(({ target }) => target === "/only/");
  t.equal(received.length, 1);
  await fixture.stop();
});
