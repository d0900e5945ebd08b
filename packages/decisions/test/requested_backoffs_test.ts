import fc from "fast-check";
import t from "tap";
import {
  parseRetryAfter,
  RequestedBackoffs,
  ServiceScheduler,
} from "../src/mod.ts";
import type { GrantDecision } from "../src/mod.ts";
import { grantedIds, grantRequest } from "./grant_requests.ts";
import { serverRecord } from "./server_record.ts";

t.test("a backoff is parsed with and without a fraction", (t) => {
  t.equal(parseRetryAfter("3").unwrapOr(undefined), 3000);
  t.equal(parseRetryAfter(" 0.25 ").unwrapOr(undefined), 250);
  t.equal(parseRetryAfter("0").unwrapOr(undefined), 0);
  t.equal(parseRetryAfter(undefined).unwrapOr(1), undefined);
  const malformed = ["", "-1", "1e3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"];
  for (const value of malformed) t.ok(parseRetryAfter(value).isErr, value);
  t.end();
});

t.test("a backoff ends with the latest time that was requested", (t) => {
  const backoffs = new RequestedBackoffs();
  t.equal(backoffs.remaining("s@1", 0), 0);
  backoffs.record("s@1", 3000, 1000);
  backoffs.record("s@1", 500, 1100);
  backoffs.record("s@2", 100, 1100);
  t.equal(backoffs.remaining("s@1", 1500), 2500);
  t.equal(backoffs.remaining("s@2", 1500), 0);
  t.same(backoffs.active(1500), [{ server: "s@1", remaining: 2500 }]);
  t.equal(backoffs.remaining("s@1", 4000), 0);
  t.end();
});

t.test("requests of an entry that all servers turn away do not hold up others", (t) => {
  // Guards against a pass over the queue that ends with them.
  const scheduler = new ServiceScheduler();
  scheduler.setServers([serverRecord("s", { slots: 2 })], 0);
  const first = grantRequest({ entry: "resting" });
  scheduler.submit(first, 0);
  scheduler.decide(0);
  scheduler.recordRequestedBackoff(first.id, 1500, 0);
  scheduler.recordEnd(first.id, "not_run", 0);
  for (let count = 0; count < 60; count++) {
    scheduler.submit(grantRequest({ entry: "resting", arrived: 1 }), 1);
  }
  const other = grantRequest({ entry: "other", arrived: 2, routeRank: 3 });
  scheduler.submit(other, 2);
  t.same(grantedIds(scheduler.decide(300)), [other.id]);
  t.end();
});

t.test("a request that no server takes before it expires is refused at once", (t) => {
  const scheduler = new ServiceScheduler();
  scheduler.setServers([serverRecord("s"), serverRecord("u")], 0);
  for (const server of ["s@1", "u@1"]) {
    const request = grantRequest();
    scheduler.adopt(request, server, 0);
    scheduler.recordRequestedBackoff(request.id, 3000, 0);
    scheduler.withdraw(request.id);
  }
  t.match(scheduler.submit(grantRequest({ arrived: 100 }), 100), {
    kind: "refuse",
    reason: "overload",
  });
  t.equal(scheduler.submit(grantRequest({ arrived: 2000 }), 2000), undefined);
  t.equal(scheduler.submit(grantRequest({ entry: "other" }), 100), undefined);
  t.end();
});

const ENTRIES = ["a", "b", "c"];
const SERVERS = ["s@1", "u@1"];
/** Milliseconds between two events. */
const STEP = 50;

type Event =
  | { kind: "arrives"; entry: string }
  /** The server turns all away, and wants rest, until told otherwise. */
  | { kind: "sheds"; server: string; rest: number }
  | { kind: "recovers"; server: string }
  /** A new granting entry takes over, which knows no backoffs. */
  | { kind: "takeover" }
  /** Messages to the granting entry are lost from now on, or arrive again. */
  | { kind: "lost"; isLost: boolean };

const entry = fc.constantFrom(...ENTRIES);
const server = fc.constantFrom(...SERVERS);
const rest = fc.integer({ min: 0, max: 2000 });
const events = fc.array(
  fc.oneof(
    {
      weight: 12,
      arbitrary: fc.record({ kind: fc.constant("arrives"), entry }),
    },
    fc.record({ kind: fc.constant("sheds"), server, rest }),
    fc.record({ kind: fc.constant("recovers"), server }),
    fc.record({ kind: fc.constant("takeover") }),
    fc.record({ kind: fc.constant("lost"), isLost: fc.boolean() }),
  ) as fc.Arbitrary<Event>,
  { minLength: 20, maxLength: 120 },
);

/** Entries with one granting entry, and servers that may turn them away. */
class Simulation {
  readonly violations: string[] = [];
  sent = 0;
  #scheduler = Simulation.#createScheduler();
  readonly #backoffs = new Map(
    ENTRIES.map((name) => [name, new RequestedBackoffs()]),
  );
  readonly #shedding = new Map<string, number>();
  /** When each server last wanted rest of each entry, and for how long. */
  readonly #wanted = new Map<string, { at: number; rest: number }>();
  #messagesLost = false;
  /** The granting entry knows all backoffs. */
  #isInformed = true;

  static #createScheduler(): ServiceScheduler {
    const scheduler = new ServiceScheduler();
    const records = ["s", "u"].map((id) => serverRecord(id, { slots: 4 }));
    scheduler.setServers(records, 0);
    return scheduler;
  }

  apply(event: Event, now: number): void {
    switch (event.kind) {
      case "arrives": {
        const { entry } = event;
        this.#scheduler.submit(grantRequest({ entry, arrived: now }), now);
        break;
      }
      case "sheds":
        this.#shedding.set(event.server, event.rest);
        break;
      case "recovers":
        this.#shedding.delete(event.server);
        break;
      case "takeover":
        this.#scheduler = Simulation.#createScheduler();
        this.#isInformed = false;
        break;
      case "lost":
        this.#messagesLost = event.isLost;
        if (event.isLost) this.#isInformed = false;
    }
    for (const decision of this.#scheduler.decide(now)) {
      this.#handle(decision, now);
    }
  }

  #handle(decision: GrantDecision, now: number): void {
    if (decision.kind === "refuse") return;
    const { request: { id, entry }, server } = decision;
    const backoffs = this.#backoffs.get(entry)!;
    if (backoffs.remaining(server, now) > 0) {
      // Grants of the same moment were decided before the server's response.
      const isNew = this.#wanted.get(`${entry} ${server}`)?.at === now;
      if (this.#isInformed && !isNew) {
        this.violations.push(`${server} granted at ${now}`);
      }
      this.#report(id, backoffs.remaining(server, now), now);
      this.#scheduler.withdraw(id);
      return;
    }
    this.#checkRest(entry, server, now);
    this.sent++;
    const rest = this.#shedding.get(server);
    if (rest === undefined) {
      this.#scheduler.recordEnd(id, "answered", now);
      return;
    }
    this.#wanted.set(`${entry} ${server}`, { at: now, rest });
    backoffs.record(server, rest, now);
    this.#report(id, rest, now);
    this.#scheduler.recordEnd(id, "not_run", now);
  }

  #report(id: string, duration: number, now: number): void {
    if (this.#messagesLost) return;
    this.#scheduler.recordRequestedBackoff(id, duration, now);
  }

  #checkRest(entry: string, server: string, now: number): void {
    const wanted = this.#wanted.get(`${entry} ${server}`);
    if (wanted === undefined || now >= wanted.at + wanted.rest) return;
    this.violations.push(`${entry} to ${server} at ${now}`);
  }
}

t.test("in any order of events no entry sends to a server that wants rest from it", (t) => {
  let sent = 0;
  fc.assert(
    fc.property(events, (sequence) => {
      const simulation = new Simulation();
      sequence.forEach((event, index) => simulation.apply(event, index * STEP));
      sent += simulation.sent;
      return simulation.violations.length === 0;
    }),
    { numRuns: 500, seed: 34 },
  );
  t.ok(sent > 5000, `${sent} requests sent`);
  t.end();
});
