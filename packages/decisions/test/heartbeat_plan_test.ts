import t from "tap";
import {
  HEARTBEAT_EVERY,
  heartbeatRecipients,
  roundRobinInterval,
  silenceLimit,
} from "../src/mod.ts";
import type { HeartbeatPeer } from "../src/mod.ts";

const SECONDS = 60;

/** Returns the heartbeats per second and the longest interval at any peer. */
function simulate(entries: number, granting: boolean) {
  const peers: HeartbeatPeer[] = [];
  for (let index = 1; index < entries; index++) {
    const grantPeer = granting || index === 1;
    const name = `entry-${index}`;
    peers.push({ name, grantPeer, sentAt: 0, heartbeatAt: 0, upToDate: true });
  }
  let sent = 0;
  let longest = 0;
  for (let now = 200; now <= SECONDS * 1000; now += HEARTBEAT_EVERY) {
    for (const name of heartbeatRecipients(peers, now)) {
      const peer = peers.find((peer) => peer.name === name)!;
      longest = Math.max(longest, now - peer.heartbeatAt);
      peer.heartbeatAt = now;
      peer.sentAt = now;
      sent++;
    }
  }
  return { perSecond: sent / SECONDS, longest };
}

t.test("the heartbeat rate of an entry does not grow with the fleet", (t) => {
  const [small, middle, large] = [30, 100, 330].map((size) =>
    simulate(size, false)
  );
  t.ok(large!.perSecond <= 1.5 * middle!.perSecond, `${large!.perSecond}`);
  t.ok(large!.perSecond <= 1.5 * small!.perSecond, `${large!.perSecond}`);
  t.end();
});

t.test("every peer receives a heartbeat within the stated interval", (t) => {
  for (const size of [2, 3, 30, 100, 330]) {
    const { longest } = simulate(size, false);
    const stated = roundRobinInterval(size - 1);
    t.ok(longest <= stated, `${longest} of ${stated}`);
    t.ok(silenceLimit(stated) > 2 * stated || size <= 3);
  }
  t.end();
});

t.test("the granting entry sends heartbeats to all its grant peers in each round", (t) => {
  t.equal(simulate(70, true).perSecond, 69 * 1000 / HEARTBEAT_EVERY);
  t.end();
});

t.test("a recent message replaces a heartbeat with unchanged content", (t) => {
  const peer = {
    name: "entry-1",
    grantPeer: true,
    sentAt: 950,
    heartbeatAt: 0,
    upToDate: true,
  };
  t.same(heartbeatRecipients([peer], 1000), []);
  t.same(heartbeatRecipients([{ ...peer, upToDate: false }], 1000), [
    "entry-1",
  ]);
  t.same(heartbeatRecipients([{ ...peer, sentAt: 800 }], 1000), ["entry-1"]);
  t.end();
});

t.test("messages do not replace heartbeats for more than a second", (t) => {
  // Otherwise a busy entry would take a store that responds to others for lost.
  const peer = {
    name: "entry-1",
    grantPeer: true,
    sentAt: 1990,
    heartbeatAt: 1000,
    upToDate: true,
  };
  t.same(heartbeatRecipients([peer], 2000), []);
  t.same(heartbeatRecipients([peer], 2001), ["entry-1"]);
  t.end();
});
