import t from "tap";
import { Fixture } from "./fixture.ts";

t.test("the log line of a refusal names the organisation and the inputs of the decision", async (t) => {
  // Without them, a 429 for a low quota looks like one for full servers.
  const fixture = await Fixture.startReady();
  const headers = { "x-tokens": "90000,10" };
  await fixture.call("/stream/", { method: "POST", headers });
  const response = await fixture.call("/stream/", { method: "POST", headers });
  t.equal(response.status, 429);
  const line = fixture.events
    .findLast(({ message }) => message === "refused");
  t.match(line?.context, {
    reason: "quota",
    organisation: "firm",
    tierRank: 0,
    routeRank: 0,
    by: "entry-1",
    waiting: 0,
    standing: "unqueued",
    promptTokens: 90_000,
    outputTokens: 1,
    charge: 90_010,
  });
  t.ok(Number(line?.context["free"]) > 0);
  t.ok(Number(line?.context["quotaWait"]) > 0);
  await fixture.stop();
});

t.test("the log tells that a server turned a request away, and for how long", async (t) => {
  // Without it, refused requests look as if no server had been free.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response) =>
      response.writeHead(503, { "x-not-run": "1", "retry-after": "0.5" }).end();
  }
  await fixture.call("/calls/");
  const line = fixture.events
    .find(({ message }) => message === "turned_away");
  t.match(line?.context, {
    request: "request-1",
    server: /^s[01]$/,
    status: 503,
    retryAfter: "0.5",
  });
  await fixture.stop();
});
