import t from "tap";
import { CallLimit } from "../src/mod.ts";
import { waitingReservation } from "./waiting_reservation.ts";

const CALL = { promptTokens: 0, outputTokens: 1 };

/** A server with some workers; the calls beyond them wait inside it. */
class VirtualServer {
  now = 0;
  latency = 10;
  failing = false;
  served = 0;
  readonly limit = new CallLimit();
  readonly #workers: number;
  readonly #calls: { id: string; left: number }[] = [];
  #count = 0;

  constructor(workers: number) {
    this.#workers = workers;
  }

  /** Calls wait for room without end. */
  run(end: number): void {
    for (; this.now < end; this.now += 1) {
      while (this.limit.admits(waitingReservation(`${this.#count}`))) {
        this.limit.started(`${this.#count}`, CALL, this.now);
        this.#calls.push({ id: `${this.#count}`, left: this.latency });
        this.#count += 1;
      }
      for (const call of this.#calls.slice(0, this.#workers)) {
        call.left -= 1;
        if (call.left <= 0) {
          this.#calls.splice(this.#calls.indexOf(call), 1);
          const outcome = this.failing ? "failed" : "ok";
          this.limit.finished(call.id, outcome, this.now);
          this.served += 1;
        }
      }
    }
  }
}

// A burst of status look-ups meets eight workers. Whatever is let in beyond them
// waits inside the server, and the urgent booking behind it.
t.test("the limit settles near the workers behind it", (t) => {
  const server = new VirtualServer(8);
  server.run(60_000);
  t.ok(server.limit.limit >= 8 && server.limit.limit <= 24);
  const served = server.served;
  server.run(70_000);
  t.ok(server.served - served > 0.95 * 8000, "the workers are kept busy");
  t.end();
});

t.test("a slow server is given less, and recovers", (t) => {
  const server = new VirtualServer(8);
  server.run(10_000);
  const before = server.limit.limit;
  server.latency = 100;
  server.run(14_000);
  t.ok(server.limit.limit <= before / 2, `${before}: ${server.limit.limit}`);
  server.latency = 10;
  server.run(20_000);
  t.ok(server.limit.limit >= 8);
  t.end();
});

t.test("a failing server is given little, never nothing", (t) => {
  const server = new VirtualServer(8);
  server.failing = true;
  server.run(10_000);
  t.equal(server.limit.limit, 1);
  server.failing = false;
  server.run(20_000);
  t.ok(server.limit.limit >= 8);
  t.end();
});

t.test("nothing starts beside a suspect", (t) => {
  const limit = new CallLimit();
  t.equal(limit.admits(waitingReservation("suspect", { suspect: true })), true);
  limit.started("suspect", CALL, 0);
  t.equal(limit.admits(waitingReservation("other")), false);
  limit.finished("suspect", "ok", 5);
  t.equal(limit.admits(waitingReservation("other")), true);
  limit.started("other", CALL, 5);
  t.equal(
    limit.admits(waitingReservation("suspect", { suspect: true })),
    false,
  );
  t.end();
});
