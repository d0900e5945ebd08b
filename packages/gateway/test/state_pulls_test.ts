import t from "tap";
import { ConfigurationPull, ServerPull } from "../src/peers/state_pulls.ts";

t.test("a configuration is newer by its version, wherever it was written", (t) => {
  const pull = new ConfigurationPull();
  const lost = { era: 1, revision: 47, version: 80 };
  const rewritten = { era: 2, revision: 45, version: 82 };
  t.ok(pull.isNewer(rewritten, lost));
  t.notOk(pull.isNewer(lost, rewritten));
  t.end();
});

t.test("the configuration of an earlier release is newer by its revision", (t) => {
  // An entry of that release states no version.
  const pull = new ConfigurationPull();
  const known = { era: 1, revision: 47, version: 80 };
  pull.recordOffer("earlier", { era: 0, revision: 48 });
  t.equal(pull.nextRequest(known, 0, 0), undefined);
  const request = pull.nextRequest(known, 300, 0);
  t.match(request, { peer: "earlier", position: { revision: 48 } });
  pull.markUnusable(request!.position);
  t.equal(pull.nextRequest(known, 2000, 0), undefined, "not again and again");
  t.end();
});

t.test("a view of the servers from before a restore is not newer", (t) => {
  const pull = new ServerPull();
  pull.recordOffer("behind", { era: 1, revision: 147 });
  t.equal(pull.nextRequest({ era: 2, revision: 105 }, 0, 0), undefined);
  t.equal(pull.nextRequest({ era: 2, revision: 105 }, 1000, 0), undefined);
  t.end();
});
