import fc from "fast-check";
import t from "tap";
import { DEFAULT_DRAIN_TIME } from "../src/dispatch/departed_servers.ts";
import { CrashSuspects, GroupScheduler, SoleSuspectRule } from "../src/mod.ts";
import type { GrantDecision, RunOutcome } from "../src/mod.ts";
import { grantRequest } from "./grant_requests.ts";
import { serverCrash } from "./server_crash.ts";
import { serverRecord } from "./server_record.ts";

const LEEWAY = { window: 8000, overage: 0, slack: 0 };

/** A granting entry with servers of 8 slots, and its requests by fingerprint. */
class Fixture {
  readonly suspects = new CrashSuspects(new SoleSuspectRule());
  readonly scheduler = new GroupScheduler(LEEWAY, undefined, this.suspects);
  readonly running = new Map<string, { fingerprint: string; server: string }>();
  now = 0;
  #starts = new Map<string, number>();

  constructor(servers: number) {
    for (let index = 0; index < servers; index++) {
      this.#starts.set(`s${index}`, 1);
    }
    this.#setServers();
  }

  /** Submits a request; returns the decisions that follow. */
  submit(fingerprint: string): GrantDecision[] {
    const request = grantRequest({
      fingerprint,
      arrived: this.now,
      expiresAt: this.now + 60_000,
      deadline: this.now + 60_000,
    });
    const refusal = this.scheduler.submit(request, this.now);
    return refusal === undefined ? this.decide() : [refusal];
  }

  decide(): GrantDecision[] {
    const decisions = this.scheduler.decide(this.now);
    for (const { kind, request, ...decision } of decisions) {
      if (kind !== "grant" || !("server" in decision)) continue;
      const { server } = decision;
      const { fingerprint } = request;
      this.running.set(request.id, { fingerprint, server: String(server) });
    }
    return decisions;
  }

  end(id: string, outcome: RunOutcome): void {
    this.running.delete(id);
    this.scheduler.recordEnd(id, outcome, this.now);
  }

  /** Ends all runs of a server as crashed, and starts it anew. */
  crash(server: string): void {
    for (const [id, run] of [...this.running]) {
      if (run.server === server) this.end(id, "crashed");
    }
    const name = nameOf(server);
    this.#starts.set(name, this.#starts.get(name)! + 1);
    this.#setServers();
  }

  idOf(fingerprint: string): string | undefined {
    for (const [id, run] of this.running) {
      if (run.fingerprint === fingerprint) return id;
    }
    return undefined;
  }

  serverOf(fingerprint: string): string | undefined {
    return this.running.get(this.idOf(fingerprint) ?? "")?.server;
  }

  kindOf(fingerprint: string): string {
    return this.suspects.verdict(fingerprint, this.now).kind;
  }

  #setServers(): void {
    this.scheduler.setServers(
      [...this.#starts].map(([name, startedAt], index) =>
        serverRecord(`${name}.${startedAt}`, {
          startedAt,
          port: 80 + index,
          slots: 8,
        })
      ),
      this.now,
    );
  }
}

/** Name that a server keeps when it starts again. */
function nameOf(incarnation: string | undefined): string {
  return incarnation?.split(".")[0] ?? "";
}

t.test("a request that two servers crashed under is the only suspect at its server", (t) => {
  // Otherwise the next crash would not show which suspect causes it.
  const fixture = new Fixture(4);
  const names = ["one", "two", "three"];
  for (const port of [80, 81]) {
    const server = `10.0.0.1:${port}`;
    fixture.suspects.recordServerCrash(serverCrash(server, names), 0);
  }
  for (const name of names) fixture.submit(name);
  const servers = names.map((name) => fixture.serverOf(name));
  t.equal(new Set(servers).size, 3);
  t.notOk(servers.includes(undefined));
  t.end();
});

t.test("requests that ran during one crash run side by side", (t) => {
  // Guards against losing most slots for each request that a crash cuts.
  const fixture = new Fixture(2);
  const names = Array.from({ length: 16 }, (_, index) => `cut-${index}`);
  const server = "10.0.0.1:80";
  fixture.suspects.recordServerCrash(serverCrash(server, names), 0);
  for (const name of names) fixture.submit(name);
  t.ok(fixture.running.size > 2, `${fixture.running.size} run`);
  t.end();
});

t.test("a request that crashes three servers is refused, its neighbours are not", (t) => {
  const fixture = new Fixture(4);
  fixture.submit("fatal");
  fixture.submit("neighbour");
  for (let crashes = 1; crashes <= 3; crashes++) {
    t.equal(fixture.kindOf("fatal"), crashes === 1 ? "clear" : "suspect");
    fixture.crash(fixture.serverOf("fatal")!);
    fixture.now += 10_000;
    const [decision] = fixture.submit("fatal");
    if (crashes < 3) t.equal(decision?.kind, "grant");
    else t.match(decision, { kind: "refuse", reason: "quarantined" });
    if (fixture.serverOf("neighbour") === undefined) {
      fixture.submit("neighbour");
    }
  }
  t.not(fixture.kindOf("neighbour"), "quarantined");
  t.end();
});

t.test("a suspect waits while another copy of it runs", (t) => {
  const fixture = new Fixture(4);
  fixture.submit("fatal");
  fixture.crash(fixture.serverOf("fatal")!);
  fixture.now += 10_000;
  t.equal(fixture.submit("fatal").length, 1);
  t.equal(fixture.submit("fatal").length, 0);
  fixture.end(fixture.idOf("fatal")!, "abandoned");
  t.equal(fixture.decide().length, 1);
  t.end();
});

t.test("a waiting request is refused once its fingerprint is quarantined", (t) => {
  const fixture = new Fixture(4);
  fixture.submit("fatal");
  for (let crashes = 1; crashes <= 3; crashes++) {
    fixture.crash(fixture.serverOf("fatal")!);
    fixture.now += 10_000;
    if (crashes < 3) fixture.submit("fatal");
    if (crashes === 2) fixture.submit("fatal");
  }
  t.match(fixture.decide(), [{ kind: "refuse", reason: "quarantined" }]);
  t.end();
});

t.test("a suspect prefers a server that has not crashed under it", (t) => {
  // Guards against quarantining a request because one server keeps crashing.
  const fixture = new Fixture(2);
  fixture.submit("harmless");
  const first = nameOf(fixture.serverOf("harmless"));
  fixture.crash(fixture.serverOf("harmless")!);
  fixture.now += 10_000;
  fixture.submit("harmless");
  t.not(nameOf(fixture.serverOf("harmless")), first);
  fixture.end(fixture.idOf("harmless")!, "answered");
  t.equal(fixture.kindOf("harmless"), "clear");
  t.end();
});

t.test("a request that crashes servers beside a suspect is not overlooked", (t) => {
  // Guards against blaming only what ran during an earlier crash.
  const fixture = new Fixture(6);
  const server = "10.0.0.9:80";
  let crashes = 0;
  while (fixture.kindOf("fatal") !== "quarantined" && crashes < 10) {
    const running = [`victim-${crashes}`];
    fixture.suspects.recordServerCrash(serverCrash(server, running), 0);
    fixture.submit(`victim-${crashes}`);
    fixture.submit("fatal");
    fixture.crash(fixture.serverOf("fatal")!);
    fixture.now += 10_000;
    crashes++;
  }
  t.ok(crashes <= 6, `${crashes} crashes`);
  t.end();
});

t.test("a run that broke before its server was known to have crashed counts", (t) => {
  const fixture = new Fixture(1);
  fixture.submit("fatal");
  fixture.submit("neighbour");
  fixture.end(fixture.idOf("fatal")!, "broken");
  fixture.now += 100;
  fixture.end(fixture.idOf("neighbour")!, "crashed");
  t.equal(fixture.kindOf("fatal"), "suspect");
  t.end();
});

t.test("a crash counts once although a response of before it is reported later", (t) => {
  // Guards against quarantining a request for two crashes counted as three.
  const fixture = new Fixture(1);
  fixture.submit("fatal");
  fixture.submit("neighbour");
  const neighbour = fixture.idOf("neighbour")!;
  fixture.end(fixture.idOf("fatal")!, "crashed");
  fixture.scheduler.recordResponseStart(neighbour, 30, fixture.now);
  fixture.end(neighbour, "crashed");
  t.match(fixture.suspects.verdict("neighbour", fixture.now), { crashes: 1 });
  t.end();
});

t.test("a server that responds to a later request may crash again", (t) => {
  // Guards against taking a start of a server for crashed for good.
  const fixture = new Fixture(1);
  fixture.submit("first");
  fixture.end(fixture.idOf("first")!, "crashed");
  fixture.now += 10_000;
  fixture.submit("second");
  const second = fixture.idOf("second")!;
  fixture.scheduler.recordResponseStart(second, 30, fixture.now);
  fixture.end(second, "crashed");
  t.match(fixture.suspects.verdict("second", fixture.now), { crashes: 1 });
  t.end();
});

t.test("a server that ends after its drain time is not counted as crashed", (t) => {
  // Guards against taking the planned exit of a server for a crash.
  const fixture = new Fixture(1);
  fixture.submit("long");
  fixture.scheduler.setServers([], fixture.now);
  fixture.now += DEFAULT_DRAIN_TIME;
  fixture.end(fixture.idOf("long")!, "crashed");
  t.equal(fixture.kindOf("long"), "clear");
  t.end();
});

t.test("a server that ends before its drain time has crashed", (t) => {
  // Guards against forgetting what ran at a server whose record was removed.
  const fixture = new Fixture(1);
  fixture.submit("long");
  fixture.scheduler.setServers([], fixture.now);
  fixture.now += DEFAULT_DRAIN_TIME - 1;
  fixture.end(fixture.idOf("long")!, "crashed");
  t.equal(fixture.kindOf("long"), "suspect");
  t.end();
});

t.test("copies that run at once crash no more than one server after them", (t) => {
  // Guards against counting only the crashes of runs granted to suspects.
  for (const copies of [1, 2, 4, 6]) {
    const fixture = new Fixture(8);
    const ids = Array.from({ length: copies }, () => {
      const [decision] = fixture.submit("fatal");
      return decision!.request.id;
    });
    let crashes = 0;
    const crash = (id: string) => {
      if (!fixture.running.has(id)) return;
      crashes++;
      fixture.crash(fixture.running.get(id)!.server);
    };
    for (const id of ids) {
      crash(id);
      fixture.submit("fatal");
    }
    while (fixture.kindOf("fatal") !== "quarantined" && crashes < 20) {
      fixture.now += 1000;
      fixture.submit("fatal");
      const id = fixture.idOf("fatal");
      if (id !== undefined) crash(id);
    }
    t.ok(crashes <= Math.max(3, copies + 1), `${crashes} of ${copies} copies`);
  }
  t.end();
});

t.test("requests that crash servers are contained, all others keep running", (t) => {
  const step = fc.record({
    name: fc.integer({ min: 0, max: 11 }),
    ends: fc.boolean(),
  });
  fc.assert(
    fc.property(
      fc.array(step, { minLength: 50, maxLength: 300 }),
      fc.integer({ min: 1, max: 2 }),
      (steps, fatalCount) => {
        const fixture = new Fixture(6);
        const crashes = new Map<string, number>();
        const isFatal = (name: string) => Number(name.slice(1)) < fatalCount;
        for (const { name, ends } of steps) {
          fixture.now += 500;
          fixture.submit(`f${name}`);
          for (const [id, run] of [...fixture.running]) {
            if (!fixture.running.has(id)) continue;
            if (isFatal(run.fingerprint)) {
              const count = crashes.get(run.fingerprint) ?? 0;
              crashes.set(run.fingerprint, count + 1);
              fixture.crash(run.server);
            } else if (ends) fixture.end(id, "answered");
          }
        }
        // Three crashes, and three retries.
        return [...crashes.values()].every((count) => count <= 6) &&
          steps.every(({ name }) =>
            name < fatalCount || fixture.kindOf(`f${name}`) !== "quarantined"
          );
      },
    ),
    { seed: 20261203, numRuns: 300 },
  );
  t.pass("no counterexample");
  t.end();
});
