import fc from "fast-check";
import t from "tap";
import { CrashSuspects, GroupScheduler, SoleSuspectRule } from "../src/mod.ts";
import { grantedIds, grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

const LEEWAY = { window: 8000, overage: 0, slack: 0 };
const SERVER = serverRecord("s", { slots: 4 });

function createScheduler() {
  const suspects = new CrashSuspects(new SoleSuspectRule());
  const scheduler = new GroupScheduler(LEEWAY, undefined, suspects);
  return { suspects, scheduler };
}

function submit(scheduler: GroupScheduler, fingerprint: string): string {
  const request = grantRequest({
    fingerprint,
    expiresAt: 60_000,
    deadline: 60_000,
  });
  scheduler.submit(request, 0);
  return request.id;
}

t.test("a crash counts although the server has left the pool", (t) => {
  // Guards against forgetting the runs of a server whose record was removed.
  const { suspects, scheduler } = createScheduler();
  scheduler.setServers([SERVER], 0);
  const ids = ["one", "two"].map((name) => submit(scheduler, name));
  t.strictSame(grantedIds(scheduler.decide(0)), ids);
  scheduler.setServers([], 0);
  const crash = scheduler.recordEnd(ids[0]!, "crashed", 10);
  t.equal(crash?.server, "10.0.0.1:80");
  t.strictSame(crash?.runs.map(({ fingerprints }) => fingerprints), [
    ["one"],
    ["two"],
  ]);
  t.equal(scheduler.recordEnd(ids[1]!, "crashed", 11), undefined);
  t.equal(suspects.verdict("two", 12).kind, "suspect");
  t.end();
});

t.test("a crash counts under a grant of another entry at an unknown server", (t) => {
  // Guards against losing a crash when the granting entry changes.
  const { scheduler } = createScheduler();
  const request = grantRequest({ fingerprint: "one" });
  scheduler.adopt(request, "unknown@1", 0);
  const crash = scheduler.recordEnd(request.id, "crashed", 10);
  t.strictSame(crash?.runs.map(({ fingerprints }) => fingerprints), [["one"]]);
  t.end();
});

t.test("a server that returns to the pool still has its runs", (t) => {
  // Guards against sending more than its slots to a server that is used again.
  const { scheduler } = createScheduler();
  scheduler.setServers([SERVER], 0);
  for (let count = 0; count < 3; count++) submit(scheduler, `first-${count}`);
  t.equal(grantedIds(scheduler.decide(0)).length, 3);
  scheduler.setServers([], 0);
  scheduler.setServers([SERVER], 0);
  for (let count = 0; count < 3; count++) submit(scheduler, `then-${count}`);
  t.equal(grantedIds(scheduler.decide(1)).length, 1);
  t.end();
});

t.test("a server runs no more than its slots, whenever its record comes and goes", (t) => {
  const steps = fc.array(
    fc.constantFrom("submit", "end", "leave", "return"),
    { maxLength: 60 },
  );
  fc.assert(fc.property(steps, (sequence) => {
    const { scheduler } = createScheduler();
    scheduler.setServers([SERVER], 0);
    const running: string[] = [];
    for (const [now, step] of sequence.entries()) {
      if (step === "submit") submit(scheduler, `request-${now}`);
      if (step === "leave") scheduler.setServers([], 0);
      if (step === "return") scheduler.setServers([SERVER], 0);
      const ended = step === "end" ? running.shift() : undefined;
      if (ended !== undefined) scheduler.recordEnd(ended, "answered", now);
      running.push(...grantedIds(scheduler.decide(now)));
      if (running.length > SERVER.slots) return false;
    }
    return true;
  }));
  t.end();
});
