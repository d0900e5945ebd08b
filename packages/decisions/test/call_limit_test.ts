import t from "tap";
import { CallLimit } from "../src/mod.ts";
import { waitingReservation } from "./waiting_reservation.ts";

const CALL = { promptTokens: 0, outputTokens: 1 };

/** Simulates a server with a fixed number of workers, in virtual time. */
class SimulatedServer {
  now = 0;
  latency = 10;
  failing = false;
  served = 0;
  readonly limit = new CallLimit();
  readonly #workers: number;
  readonly #calls: { id: string; remaining: number }[] = [];
  #count = 0;

  constructor(workers: number) {
    this.#workers = workers;
  }

  /** Runs until `end`; there are always calls waiting to be admitted. */
  run(end: number): void {
    for (; this.now < end; this.now += 1) {
      while (this.limit.admits(waitingReservation(`${this.#count}`))) {
        this.limit.recordStart(`${this.#count}`, CALL, this.now);
        this.#calls.push({ id: `${this.#count}`, remaining: this.latency });
        this.#count += 1;
      }
      for (const call of this.#calls.slice(0, this.#workers)) {
        call.remaining -= 1;
        if (call.remaining <= 0) {
          this.#calls.splice(this.#calls.indexOf(call), 1);
          const outcome = this.failing ? "failed" : "ok";
          this.limit.recordEnd(call.id, outcome, this.now);
          this.served += 1;
        }
      }
    }
  }
}

// Guards against admitting calls that only wait inside the server.
t.test("the limit settles near the server's number of workers", (t) => {
  const server = new SimulatedServer(8);
  server.run(60_000);
  t.ok(server.limit.limit >= 8 && server.limit.limit <= 24);
  const served = server.served;
  server.run(70_000);
  t.ok(server.served - served > 0.95 * 8000, "the workers are busy");
  t.end();
});

t.test("the limit of a slow server falls and then recovers", (t) => {
  const server = new SimulatedServer(8);
  server.run(10_000);
  const before = server.limit.limit;
  server.latency = 100;
  server.run(14_000);
  t.ok(
    server.limit.limit <= before / 2,
    `from ${before} to ${server.limit.limit}`,
  );
  server.latency = 10;
  server.run(20_000);
  t.ok(server.limit.limit >= 8);
  t.end();
});

t.test("the limit of a failing server falls to 1 and then recovers", (t) => {
  const server = new SimulatedServer(8);
  server.failing = true;
  server.run(10_000);
  t.equal(server.limit.limit, 1);
  server.failing = false;
  server.run(20_000);
  t.ok(server.limit.limit >= 8);
  t.end();
});

t.test("no call is admitted beside a suspect", (t) => {
  const limit = new CallLimit();
  t.equal(limit.admits(waitingReservation("suspect", { suspect: true })), true);
  limit.recordStart("suspect", CALL, 0);
  t.equal(limit.admits(waitingReservation("other")), false);
  limit.recordEnd("suspect", "ok", 5);
  t.equal(limit.admits(waitingReservation("other")), true);
  limit.recordStart("other", CALL, 5);
  t.equal(
    limit.admits(waitingReservation("suspect", { suspect: true })),
    false,
  );
  t.end();
});
