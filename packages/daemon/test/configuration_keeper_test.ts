import { MemoryKeyValueStore } from "@sycamorepulley/store";
import t from "tap";
import { ConfigurationSync } from "../src/common/configuration_sync.ts";
import { Metrics } from "../src/common/metrics.ts";

t.test("of many peers with a newer set one is asked at a time", (t) => {
  // Each message of each peer asked for all of it, over links that it fills.
  const keeper = new ConfigurationSync({
    store: new MemoryKeyValueStore(),
    fleetSize: 10,
    random: () => 0.5,
    metrics: new Metrics(),
    log: { info: () => {}, warn: () => {} },
  });
  const asked: number[] = [];
  const peers = Array.from({ length: 10 }, (_, index) => ({
    send: () => asked.push(index),
  }));
  const told = (now: number) => {
    for (const peer of peers) keeper.recordPeerRevision(peer, 5, now);
  };
  for (let now = 0; now < 1900; now += 100) told(now);
  t.same(asked, [0]);
  told(2000);
  t.equal(asked.length, 2, "the first did not answer");
  keeper.handleMessage(peers[0]!, {
    type: "configuration",
    revision: 4,
    text: "",
  });
  told(2010);
  t.equal(asked.length, 3, "what came was of no use");
  t.end();
});
