import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import { grantedIds, grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

const LEEWAY = { window: 8000, overage: 0.1, slack: 1e9 };

function createScheduler(): GroupScheduler {
  const scheduler = new GroupScheduler(LEEWAY);
  scheduler.setServers([
    serverRecord("near", { slots: 1, dataCentre: "a" }),
    serverRecord("far", { slots: 1, dataCentre: "b", port: 81 }),
  ], 0);
  return scheduler;
}

t.test("a request waits for its home rather than running elsewhere", (t) => {
  const scheduler = createScheduler();
  const first = grantRequest({ allowedDataCentres: ["b"] });
  const second = grantRequest({ allowedDataCentres: ["b"] });
  for (const request of [first, second]) scheduler.submit(request, 0);
  t.strictSame(scheduler.decide(0), [
    { kind: "grant", request: first, server: "far@1" },
  ]);
  scheduler.recordEnd(first.id, "answered", 10);
  t.strictSame(grantedIds(scheduler.decide(10)), [second.id]);
  t.end();
});

t.test("requests that wait for a full home let others pass", (t) => {
  // Guards against a pass over the queue that ends at requests of one region.
  const scheduler = createScheduler();
  for (let count = 0; count < 60; count++) {
    scheduler.submit(grantRequest({ allowedDataCentres: ["b"] }), 0);
  }
  const other = grantRequest({ tierRank: 5 });
  scheduler.submit(other, 0);
  t.ok(grantedIds(scheduler.decide(0)).includes(other.id));
  t.end();
});

t.test("a request whose home has no server left is refused at once", (t) => {
  const scheduler = createScheduler();
  const nowhere = grantRequest({ allowedDataCentres: ["c"] });
  t.match(scheduler.submit(nowhere, 0), {
    kind: "refuse",
    reason: "no_server",
  });
  const tried = grantRequest({
    allowedDataCentres: ["b"],
    excludedServers: ["far@1"],
  });
  t.match(scheduler.submit(tried, 0), { kind: "refuse", reason: "no_server" });
  t.end();
});
