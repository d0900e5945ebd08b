import t from "tap";
import { GroupScheduler } from "../src/mod.ts";
import type {
  RolloutOutcome,
  RolloutState,
  RunOutcome,
  ServerRecord,
} from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";
import { at, serverRecord } from "./server_record.ts";

const NO_LEEWAY = { window: 1000, overage: 0, slack: 0 };
const SERVICE = "assistant";
const DURATION = 15_000;

function servers(
  version: string,
  count: number,
  startedAt: number,
): ServerRecord[] {
  return Array.from(
    { length: count },
    (_, index) =>
      serverRecord(`${version}-${index}`, {
        version,
        startedAt,
        slots: 8,
        port: startedAt * 100 + index,
      }),
  );
}

const OLD = servers("v1", 4, 1);
const NEW = servers("v2", 4, 2);

function rollout(
  outcome: RolloutOutcome = "running",
  { target = "v2", revision = 1, orderedAt = 0 } = {},
): ReadonlyMap<string, RolloutState> {
  const order = {
    service: SERVICE,
    target,
    duration: DURATION,
    position: at(revision),
  };
  return new Map([[SERVICE, { order, orderedAt, outcome }]]);
}

/** Milliseconds that a run takes. */
const RUN_TIME = 400;

type Load = {
  count?: number;
  from?: number;
  /** How runs of a version end, if not with a response; `undefined`: never. */
  outcomes?: ReadonlyMap<string, RunOutcome | undefined>;
};

/** Versions that `count` requests in a row are sent to, 20 ms apart. */
function send(
  scheduler: GroupScheduler,
  { count = 500, from = 0, outcomes = new Map() }: Load = {},
): Map<string, number> {
  const grants = new Map<string, number>();
  const running: { id: string; endsAt: number; outcome: RunOutcome }[] = [];
  const last = from + count * 20;
  for (let now = from; now < last || running.length > 0; now += 20) {
    while (running.length > 0 && running[0]!.endsAt <= now) {
      const { id, outcome } = running.shift()!;
      scheduler.recordEnd(id, outcome, now);
    }
    if (now < last) scheduler.submit(grantRequest({ arrived: now }), now);
    for (const decision of scheduler.decide(now)) {
      if (decision.kind === "refuse") continue;
      const version = decision.server.split("-")[0]!;
      grants.set(version, (grants.get(version) ?? 0) + 1);
      const { id } = decision.request;
      const outcome = outcomes.has(version)
        ? outcomes.get(version)
        : "answered";
      if (outcome === undefined) continue;
      scheduler.recordResponseStart(id, 60, now);
      running.push({ id, endsAt: now + RUN_TIME, outcome });
    }
  }
  return grants;
}

function schedulerWith(records: readonly ServerRecord[]): GroupScheduler {
  const scheduler = new GroupScheduler(NO_LEEWAY);
  scheduler.setServers(records, 0);
  return scheduler;
}

t.test("a new version gets a bounded share before its order is known", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setServers([...OLD, ...NEW], 0);
  const grants = send(scheduler);
  t.ok(grants.get("v2")! <= 0.1 * 500 + 50, `${grants.get("v2")} of 500`);
  t.ok(grants.get("v2")! > 0);
  t.end();
});

t.test("an entry that starts in the middle does not take the target for established", (t) => {
  const scheduler = schedulerWith([...NEW, ...OLD]);
  scheduler.setRollouts(rollout("running", { orderedAt: -4000 }), 0);
  const grants = send(scheduler, { count: 200 });
  t.ok(grants.get("v2")! <= 0.1 * 200 + 1, `${grants.get("v2")} of 200`);
  t.end();
});

t.test("a target that is known before the old servers is not established", (t) => {
  const scheduler = schedulerWith(NEW);
  scheduler.setServers([...NEW, ...OLD], 500);
  scheduler.setRollouts(rollout("running", { orderedAt: 500 }), 500);
  const grants = send(scheduler, { count: 200, from: 500 });
  t.ok(grants.get("v2")! <= 0.1 * 200 + 50, `${grants.get("v2")} of 200`);
  t.end();
});

t.test("an order that is known before any server is judged by both versions", (t) => {
  const scheduler = new GroupScheduler(NO_LEEWAY);
  scheduler.setRollouts(rollout("running"), 0);
  scheduler.setServers([...OLD, ...NEW], 100);
  send(scheduler, { from: 100 });
  const [report] = scheduler.rolloutReports(11_000);
  t.ok((report?.evidence[0]?.from.ended ?? 0) > 100);
  t.ok((report?.evidence[0]?.to.ended ?? 0) > 10);
  t.end();
});

t.test("new servers of the established version are not held back", (t) => {
  const scheduler = schedulerWith(OLD);
  const released = servers("v1", 4, 3).map((record, index) => ({
    ...record,
    id: `v1-new-${index}`,
  }));
  scheduler.setServers(released, 100);
  t.equal(send(scheduler, { count: 100, from: 100 }).get("v1"), 100);
  t.end();
});

t.test("several versions without an order are all used after a while", (t) => {
  const scheduler = schedulerWith([...OLD, ...NEW]);
  send(scheduler, { count: 1600 });
  const grants = send(scheduler, { from: 33_000, count: 200 });
  t.ok(grants.get("v2")! >= 60, `${grants.get("v2")} of 200`);
  t.end();
});

t.test("a version that is rolled back gets nothing, also from the queue", (t) => {
  const scheduler = schedulerWith(OLD);
  const busy = OLD.flatMap(({ slots }) =>
    Array.from({ length: slots }, () => grantRequest())
  );
  for (const request of busy) scheduler.submit(request, 0);
  scheduler.decide(0);
  scheduler.submit(grantRequest(), 0);
  scheduler.setRollouts(rollout("rolled_back"), 0);
  scheduler.setServers([...OLD, ...NEW], 0);
  t.strictSame(scheduler.decide(10), []);
  for (const { id } of busy) scheduler.recordEnd(id, "answered", 20);
  t.strictSame([...send(scheduler, { from: 20 }).keys()], ["v1"]);
  scheduler.setRollouts(new Map(), 11_000);
  t.strictSame([...send(scheduler, { from: 11_000 }).keys()], ["v1"]);
  t.end();
});

t.test("a version that is rolled back is not served even without others", (t) => {
  const scheduler = schedulerWith([...OLD, ...NEW]);
  scheduler.setRollouts(rollout("rolled_back"), 0);
  scheduler.setServers(NEW, 100);
  const decision = scheduler.submit(grantRequest({ arrived: 100 }), 100);
  t.match(decision, { kind: "refuse", reason: "no_server" });
  t.equal(send(scheduler, { count: 1000, from: 100 }).size, 0);
  t.end();
});

t.test("a version of which nothing is known serves if there is no other", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setRollouts(rollout(), 0);
  scheduler.setServers(NEW, 0);
  t.equal(send(scheduler, { count: 100 }).get("v2"), 100);
  t.end();
});

t.test("all servers of the target serve if the old ones end during the trial", (t) => {
  const scheduler = schedulerWith(OLD);
  const now = 11_000;
  scheduler.decide(now);
  scheduler.setServers([...OLD, ...NEW], now);
  scheduler.setRollouts(rollout("running", { orderedAt: now }), now);
  scheduler.setServers(NEW, now + 100);
  for (let index = 0; index < 32; index++) {
    scheduler.submit(grantRequest({ arrived: now + 200 }), now + 200);
  }
  t.equal(scheduler.decide(now + 200).length, 32);
  t.end();
});

t.test("after a success the old version gets nothing", (t) => {
  const scheduler = schedulerWith([...OLD, ...NEW]);
  scheduler.setRollouts(rollout("succeeded"), 0);
  t.strictSame([...send(scheduler).keys()], ["v2"]);
  t.end();
});

t.test("an order for a version that was rolled back exposes it again", (t) => {
  const scheduler = schedulerWith([...OLD, ...NEW]);
  scheduler.setRollouts(rollout("rolled_back"), 0);
  const again = rollout("running", { revision: 2, orderedAt: 1000 });
  scheduler.setRollouts(again, 1000);
  t.ok(send(scheduler, { from: 1000, count: 200 }).get("v2")! > 0);
  t.end();
});

t.test("an order for the established version succeeds", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setRollouts(rollout("running", { target: "v1" }), 0);
  t.equal(send(scheduler, { count: 500 }).get("v1"), 500);
  t.match(scheduler.rolloutReports(10_000), [{ outcome: "succeeded" }]);
  t.end();
});

t.test("a target without servers is rolled back before the time limit", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setRollouts(rollout(), 0);
  send(scheduler, { count: 740 });
  t.match(scheduler.rolloutReports(14_800), [{ outcome: "rolled_back" }]);
  t.end();
});

t.test("an entry that does not grant concludes nothing", (t) => {
  const scheduler = schedulerWith([...OLD, ...NEW]);
  scheduler.setQuotas(new Map(), { room: 0, quota: 0 }, 0);
  scheduler.setRollouts(rollout(), 0);
  t.match(scheduler.rolloutReports(14_000), [{ outcome: "running" }]);
  t.end();
});

t.test("a roll-out goes on if the first servers of the target are down", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setServers([...OLD, ...NEW], 0);
  scheduler.setRollouts(rollout(), 0);
  let answered = 0;
  for (let now = 0; now < 4000; now += 20) {
    scheduler.submit(grantRequest({ arrived: now }), now);
    for (const decision of scheduler.decide(now)) {
      if (decision.kind === "refuse") continue;
      const { request: { id }, server } = decision;
      const isDown = server === "v2-0@2";
      const outcome = isDown ? "connection_refused" : "answered";
      scheduler.recordEnd(id, outcome, now);
      if (!isDown && server.startsWith("v2")) answered++;
    }
  }
  t.ok(answered >= 3, `${answered}`);
  t.end();
});

t.test("an entry that begins to grant in the middle uses no slack", (t) => {
  const scheduler = schedulerWith([...OLD, ...NEW]);
  scheduler.setQuotas(new Map(), { room: 0, quota: 0 }, 0);
  scheduler.setRollouts(rollout(), 0);
  scheduler.setQuotas(new Map(), { room: 1, quota: 1 }, 3000);
  const grants = send(scheduler, { from: 3000, count: 200 });
  t.ok(grants.get("v2")! <= 0.1 * 200 + 1, `${grants.get("v2")} of 200`);
  t.end();
});

t.test("a bad version is compared with the one that serves, though another is assumed to be established", (t) => {
  const [foreign] = servers("v0", 1, 0);
  const scheduler = schedulerWith([foreign!, ...OLD]);
  const outcomes = new Map<string, RunOutcome>([
    ["v0", "connection_refused"],
    ["v2", "failed"],
  ]);
  send(scheduler, { outcomes, count: 1600 });
  const now = 33_000;
  scheduler.setServers([foreign!, ...OLD, ...NEW], now);
  scheduler.setRollouts(rollout("running", { orderedAt: now }), now);
  const grants = send(scheduler, { outcomes, from: now, count: 660 });
  t.match(scheduler.rolloutReports(now + 13_200), [{
    outcome: "rolled_back",
    reason: /failures/,
  }]);
  t.ok(grants.get("v2")! <= 0.1 * 660 + 50, `${grants.get("v2")} of 660`);
  t.end();
});

t.test("evidence is kept while records of another version come and go", (t) => {
  const [foreign] = servers("v0", 1, 0);
  const scheduler = schedulerWith(OLD);
  scheduler.setRollouts(rollout(), 0);
  const outcomes = new Map<string, RunOutcome>([
    ["v0", "connection_refused"],
    ["v2", "failed"],
  ]);
  for (let from = 0; from < 12_000; from += 600) {
    const others = from % 1200 === 0 ? [foreign!] : [];
    scheduler.setServers([...others, ...OLD, ...NEW], from);
    send(scheduler, { outcomes, from, count: 10 });
  }
  t.match(scheduler.rolloutReports(12_000), [{ outcome: "rolled_back" }]);
  t.end();
});

t.test("a failing version is rolled back if no run of the old one ends", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setServers([...OLD, ...NEW], 0);
  scheduler.setRollouts(rollout(), 0);
  const outcomes = new Map<string, RunOutcome | undefined>([
    ["v1", undefined],
    ["v2", "failed"],
  ]);
  const grants = send(scheduler, { outcomes, count: 660 });
  t.match(scheduler.rolloutReports(13_200), [{ outcome: "rolled_back" }]);
  t.ok(grants.get("v2")! <= 0.1 * 660 + 50, `${grants.get("v2")} of 660`);
  t.end();
});

t.test("the outcome of another entry is final", (t) => {
  const scheduler = schedulerWith(OLD);
  scheduler.setServers([...OLD, ...NEW], 0);
  scheduler.setRollouts(rollout(), 0);
  send(scheduler, { count: 640 });
  t.match(scheduler.rolloutReports(12_800), [{ outcome: "succeeded" }]);
  scheduler.setRollouts(rollout("rolled_back"), 12_900);
  t.match(scheduler.rolloutReports(13_000), [{ outcome: "rolled_back" }]);
  t.strictSame([...send(scheduler, { from: 13_000 }).keys()], ["v1"]);
  t.end();
});
