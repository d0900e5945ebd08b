import t from "tap";
import { ServiceDesk } from "../src/mod.ts";
import { ask, granted } from "./asks.ts";
import { serverRecord as server } from "./server_record.ts";

t.test("no more is sent to a server than it runs at once", (t) => {
  // Engines admit in order of arrival: what is sent beyond their places waits
  // there, where an urgent request can't pass it.
  const desk = new ServiceDesk();
  desk.setServers([server("x")]);
  const asks = [ask(), ask(), ask()];
  for (const one of asks) t.equal(desk.ask(one, 0), undefined);
  t.same(granted(desk.verdicts(0)), [asks[0]!.id, asks[1]!.id]);
  t.same(desk.verdicts(1), []);
  desk.ended(asks[0]!.id, "answered", 50);
  t.same(granted(desk.verdicts(50)), [asks[2]!.id]);
  t.end();
});

t.test("a higher tier goes first, and a short answer within a tier", (t) => {
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 1 })]);
  const running = ask();
  desk.ask(running, 0);
  desk.verdicts(0);
  const lower = ask({
    tierRank: 1,
    cost: { promptTokens: 60, outputTokens: 10 },
  });
  const long = ask({ cost: { promptTokens: 600, outputTokens: 500 } });
  const short = ask({ cost: { promptTokens: 600, outputTokens: 30 } });
  for (const one of [lower, long, short]) desk.ask(one, 0);
  const order: string[] = [];
  let last = running.id;
  for (let now = 10; now < 50; now += 10) {
    desk.ended(last, "answered", now);
    const [next] = granted(desk.verdicts(now));
    if (next === undefined) break;
    order.push(next);
    last = next;
  }
  t.same(order, [short.id, long.id, lower.id]);
  t.end();
});

t.test("a crashed server draws no requests", (t) => {
  // It refuses connections at once, so it is always idle and looks fastest: of
  // 19,000 tries on a day with crashes 3,283 went to servers that were down.
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 8 }), server("y", { slots: 8 })]);
  const first = ask();
  desk.ask(first, 0);
  const [grant] = desk.verdicts(0);
  if (grant?.kind !== "grant") return t.fail("not granted");
  const down = grant.server;
  desk.ended(first.id, "connection_refused", 1);
  for (let count = 0; count < 8; count++) desk.ask(ask(), 2);
  const servers = desk.verdicts(2)
    .map((verdict) => verdict.kind === "grant" ? verdict.server : "");
  t.notOk(servers.includes(down));
  t.equal(servers.length, 8);
  for (let count = 0; count < 8; count++) desk.ask(ask(), 400);
  const later = desk.verdicts(400)
    .map((verdict) => verdict.kind === "grant" ? verdict.server : "");
  t.equal(
    later.filter((name) => name === down).length,
    1,
    "one tries it again",
  );
  t.end();
});

t.test("a server that another one answers for draws no requests", (t) => {
  // A server has crashed and another has its address, which rejects at once what
  // is meant for the first: idle and fast, it drew one request after the other,
  // and each spent one of the service's resends.
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 8 }), server("y", { slots: 8 })]);
  const first = ask();
  desk.ask(first, 0);
  const [grant] = desk.verdicts(0);
  if (grant?.kind !== "grant") return t.fail("not granted");
  desk.ended(first.id, "misdirected", 1);
  for (let count = 0; count < 8; count++) desk.ask(ask(), 2);
  const servers = desk.verdicts(2)
    .map((verdict) => verdict.kind === "grant" ? verdict.server : "");
  t.notOk(servers.includes(grant.server));
  t.end();
});

t.test("a connect without an answer shuts a server out for its entry only", (t) => {
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 8 })]);
  const first = ask();
  desk.ask(first, 0);
  desk.verdicts(0);
  desk.ended(first.id, "connection_timeout", 300);
  const same = ask({ arrived: 300 });
  const other = ask({ arrived: 300, entry: "entry-2" });
  desk.ask(same, 300);
  desk.ask(other, 300);
  t.same(granted(desk.verdicts(300)), [other.id]);
  t.end();
});

t.test("who waits in vain is told so before its caller leaves", (t) => {
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 1 })]);
  desk.ask(ask(), 0);
  desk.verdicts(0);
  const waiting = ask({ lapsesAt: 1600 });
  desk.ask(waiting, 0);
  t.same(desk.verdicts(1599), []);
  const [verdict] = desk.verdicts(1601);
  t.equal(verdict?.kind, "refuse");
  if (verdict?.kind === "refuse") t.ok(verdict.retryAfter >= 1000);
  t.equal(desk.waiting, 0);
  t.end();
});

t.test("a refused caller is sent back after the burst, within its patience", (t) => {
  // Bursts last up to five seconds. Sent back after 1.5 to 3.5 s, a caller came
  // into the same one, was refused again and had no retry left. It waits for a
  // third of its time left at most, so a longer time would not be kept.
  const refusalOf = (endsAt: number, spread: number): number => {
    const desk = new ServiceDesk();
    desk.setServers([server("x", { slots: 1 })]);
    desk.ask(ask({ goalAt: -1, lapsesAt: -1, endsAt, spread }), 0);
    const [verdict] = desk.verdicts(0);
    return verdict?.kind === "refuse" ? verdict.retryAfter : NaN;
  };
  t.equal(refusalOf(12_000, 0), 4000);
  t.equal(refusalOf(12_000, 1), 2000);
  t.equal(refusalOf(3000, 0), 1000);
  t.equal(refusalOf(60_000, 0), 5000);
  t.end();
});

t.test("a caller that comes back goes before late ones of its tier", (t) => {
  // A second refusal is a caller's last: it has one retry.
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 1 })]);
  const running = ask();
  desk.ask(running, 0);
  desk.verdicts(0);
  const refused = ask({ goalAt: 50, lapsesAt: 100, fingerprint: "again" });
  desk.ask(refused, 0);
  t.match(desk.verdicts(101), [{ kind: "refuse" }]);
  const late = ask({ arrived: 2000, goalAt: 1900, lapsesAt: 4000 });
  const again = ask({ arrived: 2000, fingerprint: "again", lapsesAt: 4000 });
  desk.ask(late, 2000);
  desk.ask(again, 2000);
  desk.ended(running.id, "answered", 2010);
  t.same(granted(desk.verdicts(2010)), [again.id]);
  t.end();
});

t.test("a long answer is not sent to a server too slow to end it", (t) => {
  // At an engine a fifth as fast as others an answer of 1,500 tokens takes longer
  // than its caller has: its place is taken until the deadline, for nothing.
  const desk = new ServiceDesk();
  desk.setServers([server("slow", { slots: 4 }), server("fast", { slots: 4 })]);
  for (let count = 0; count < 40; count++) {
    const one = ask();
    desk.ask(one, count);
    const [verdict] = desk.verdicts(count);
    if (verdict?.kind !== "grant") return t.fail("not granted");
    const slow = verdict.server.startsWith("slow");
    desk.firstAnswer(one.id, slow ? 150 : 80, count);
    const measured = slow ? 1500 : 250;
    desk.restAnswered(one.id, { tokens: 100, measured, pausePart: 0 }, count);
    desk.ended(one.id, "answered", count);
  }
  const servers: string[] = [];
  for (let count = 0; count < 6; count++) {
    desk.ask(ask({ cost: { promptTokens: 600, outputTokens: 1500 } }), 50);
    for (const verdict of desk.verdicts(50)) {
      if (verdict.kind === "grant") servers.push(verdict.server);
    }
  }
  t.same(servers, Array(4).fill("fast@1"));
  t.end();
});

t.test("long prompts keep off servers whose answers they stop", (t) => {
  // A slow engine reads a long prompt in between the tokens of all answers
  // beside it: their events come half a second apart, and eleven callers count
  // their answers as late. The fast engine beside it reads the same unnoticed.
  const desk = new ServiceDesk();
  desk.setServers([server("slow", { slots: 9 }), server("fast", { slots: 9 })]);
  const cost = { promptTokens: 9000, outputTokens: 100 };
  const long = (now: number) =>
    ask({ cost, arrived: now, goalAt: now + 5000, lapsesAt: now + 9000 });
  for (let now = 0; now < 12_000; now += 300) {
    desk.ask(long(now), now);
    desk.ask(long(now), now);
    for (const verdict of desk.verdicts(now)) {
      if (verdict.kind !== "grant") return t.fail("not granted");
      const slow = verdict.server.startsWith("slow");
      const pausePart = slow ? 2 : 0.3;
      desk.firstAnswer(verdict.ask.id, 150, now);
      const pace = { tokens: 100, measured: 400, pausePart };
      desk.restAnswered(verdict.ask.id, pace, now);
      desk.ended(verdict.ask.id, "answered", now);
    }
  }
  const servers: string[] = [];
  for (const one of [long(12_000), long(12_000), long(12_000)]) {
    desk.ask(one, 12_000);
  }
  const short = { promptTokens: 600, outputTokens: 100 };
  for (let count = 0; count < 9; count++) {
    desk.ask(ask({ cost: short, arrived: 12_000 }), 12_000);
  }
  for (const verdict of desk.verdicts(12_000)) {
    if (verdict.kind !== "grant") continue;
    const size = verdict.ask.cost.promptTokens === 9000 ? "long" : "short";
    servers.push(`${size} at ${verdict.server}`);
  }
  t.notOk(servers.includes("long at slow@1"));
  t.ok(servers.includes("long at fast@1"));
  t.ok(servers.includes("short at slow@1"), "which it serves in time");
  t.end();
});

t.test("a request that every server was tried for is refused at once", (t) => {
  const desk = new ServiceDesk();
  desk.setServers([server("x")]);
  const verdict = desk.ask(ask({ avoid: ["x@1"] }), 0);
  t.equal(verdict?.kind, "refuse");
  t.equal(desk.waiting, 0);
  t.end();
});

t.test("what an entry ran is forgotten with it", (t) => {
  const desk = new ServiceDesk();
  desk.setServers([server("x", { slots: 1 })]);
  desk.ask(ask({ entry: "gone" }), 0);
  desk.verdicts(0);
  const waiting = ask();
  desk.ask(waiting, 0);
  t.same(desk.verdicts(1), []);
  desk.forgetEntry("gone");
  t.same(granted(desk.verdicts(2)), [waiting.id]);
  t.end();
});
