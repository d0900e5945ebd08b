import t from "tap";
import { ServiceScheduler } from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

t.test("requests and grants are counted by size class until they are taken", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([serverRecord("s", { slots: 1 })], 0);
  for (let outputTokens = 1; outputTokens <= 20; outputTokens++) {
    const cost = { promptTokens: 100, outputTokens };
    scheduler.submit(grantRequest({ cost, routeRank: 3 }), 0);
  }
  scheduler.decide(0);
  const counts = scheduler.takeSizeClassCounts().get("0.3")!;
  const { largest, large, usual } = counts;
  t.equal(largest.requests + large.requests + usual.requests, 20);
  t.equal(largest.grants + large.grants + usual.grants, 1);
  t.equal(scheduler.takeSizeClassCounts().size, 0);
  t.end();
});
