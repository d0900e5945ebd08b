import { MemoryKeyValueStore } from "@sycamorepulley/store";
import t from "tap";
import { ConfigurationSync } from "../src/common/configuration_sync.ts";
import { Metrics } from "../src/common/metrics.ts";

t.test("a newer configuration is requested from one peer at a time", (t) => {
  // Otherwise each peer's messages request it all, which overloads the links.
  const sync = new ConfigurationSync({
    store: new MemoryKeyValueStore(),
    fleetSize: 10,
    random: () => 0.5,
    metrics: new Metrics(),
    log: { info: () => {}, warn: () => {} },
  });
  const requestedFrom: number[] = [];
  const peers = Array.from({ length: 10 }, (_, index) => ({
    send: () => requestedFrom.push(index),
  }));
  const statePeerRevisions = (now: number) => {
    for (const peer of peers) sync.recordPeerRevision(peer, 5, now);
  };
  for (let now = 0; now < 1900; now += 100) statePeerRevisions(now);
  t.same(requestedFrom, [0]);
  statePeerRevisions(2000);
  t.equal(requestedFrom.length, 2, "the first peer did not respond");
  sync.handleMessage(peers[0]!, {
    type: "configuration",
    revision: 4,
    text: "",
  });
  statePeerRevisions(2010);
  t.equal(
    requestedFrom.length,
    3,
    "the response was not a valid configuration",
  );
  t.end();
});
