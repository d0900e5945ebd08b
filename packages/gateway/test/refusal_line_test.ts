import t from "tap";
import { Fixture } from "./fixture.ts";

t.test("a refusal's line says for whom and by what it was decided", async (t) => {
  // A firm was told 429 in a busy minute. The line named neither the firm, nor
  // whether a place was free, nor what its quota stood at: the on-call engineer
  // could not tell a quota that is too low from servers that were full.
  const fixture = await Fixture.startReady();
  const headers = { "x-tokens": "90000,10" };
  await fixture.call("/stream/", { method: "POST", headers });
  const seen = await fixture.call("/stream/", { method: "POST", headers });
  t.equal(seen.status, 429);
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
