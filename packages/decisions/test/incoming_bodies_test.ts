import t from "tap";
import { bodyCapacity, IncomingBodies, MemoryBudget } from "../src/mod.ts";
import type { IncomingBody } from "../src/mod.ts";

const KIB = 1024;
const MIB = 1024 * KIB;
const BUDGET = 16 * MIB;
/** Milliseconds without progress after which a body may lose its memory. */
const STALL_TIME = 1000;

function startBudget() {
  const budget = new MemoryBudget(BUDGET);
  const bodies = new IncomingBodies(budget);
  const evicted: IncomingBody[] = [];
  const open = (now: number) => {
    const body: IncomingBody = bodies.open(() => evicted.push(body), now);
    return body;
  };
  return { budget, bodies, open, evicted };
}

// Guards against ordinary requests that are refused for a few large ones.
t.test("large bodies leave room for small ones", (t) => {
  const { bodies, open } = startBudget();
  for (let count = 0; count < 2; count++) {
    t.ok(bodies.reserve(open(0), 4 * MIB, 0));
  }
  t.notOk(bodies.reserve(open(0), 4 * MIB, 0));
  for (let count = 0; count < 128; count++) {
    t.ok(bodies.reserve(open(0), 64 * KIB, 0));
  }
  t.notOk(bodies.reserve(open(0), 64 * KIB, 0));
  t.end();
});

t.test("the only large body may use the whole budget", (t) => {
  const { bodies, open } = startBudget();
  const only = open(0);
  t.ok(bodies.reserve(only, 13 * MIB, 0));
  t.ok(bodies.reserve(only, BUDGET, 0));
  bodies.close(only);
  t.ok(bodies.reserve(open(0), BUDGET, 0));
  t.end();
});

// Guards against clients that stop short of the end of their bodies.
t.test("a body without progress loses its memory to another", (t) => {
  const { bodies, open, evicted } = startBudget();
  const stalled = open(0);
  const progressing = open(0);
  bodies.reserve(stalled, 4 * MIB, 0);
  bodies.reserve(progressing, 4 * MIB, 0);
  bodies.recordReceived(progressing, 16 * KIB, STALL_TIME / 2);
  // Less than this is no progress: a client could send a byte now and then.
  bodies.recordReceived(stalled, 16 * KIB - 1, STALL_TIME / 2);
  const other = open(STALL_TIME);
  t.notOk(bodies.reserve(other, 4 * MIB, STALL_TIME - 1));
  t.same(evicted, []);
  t.ok(bodies.reserve(other, 4 * MIB, STALL_TIME));
  t.same(evicted, [stalled]);
  t.end();
});

t.test("a complete body keeps its memory", (t) => {
  const { budget, bodies, open, evicted } = startBudget();
  const complete = open(0);
  bodies.reserve(complete, 10 * MIB, 0);
  bodies.complete(complete, 9 * MIB);
  t.equal(budget.use.held, 9 * MIB);
  t.notOk(bodies.reserve(open(0), 8 * MIB, 10 * STALL_TIME));
  t.same(evicted, []);
  bodies.close(complete);
  t.equal(budget.use.held, 0);
  t.end();
});

// Guards against many bodies that are all refused shortly before their ends.
t.test("a body of unknown length reserves what it may become", (t) => {
  t.equal(bodyCapacity(1, undefined, 4 * MIB), 256);
  t.equal(bodyCapacity(33 * KIB, undefined, 4 * MIB), 64 * KIB);
  t.equal(bodyCapacity(64 * KIB + 1, undefined, 4 * MIB), 4 * MIB);
  t.equal(bodyCapacity(1, 100 * KIB, 4 * MIB), 100 * KIB);
  t.end();
});

// Guards against a crowd that keeps ordinary callers out while it stays.
t.test("ordinary requests are served beside clients that stall", (t) => {
  const { bodies, open } = startBudget();
  const interval = 10;
  let stalling = 0;
  let refused = 0;
  for (let now = 0; now < 60 * STALL_TIME; now += interval) {
    // Twice as many of the largest size a second as the budget holds.
    if (now % (STALL_TIME / 8) < interval) {
      if (bodies.reserve(open(now), 4 * MIB, now)) stalling++;
    }
    // Small ones that fill the other half within two seconds.
    if (!bodies.reserve(open(now), 32 * KIB, now)) refused++;
    const ordinary = open(now);
    t.ok(bodies.reserve(ordinary, 16 * KIB, now), `at ${now}`);
    bodies.complete(ordinary, 16 * KIB);
    bodies.close(ordinary);
  }
  t.ok(stalling > 10, `${stalling} large ones were admitted`);
  t.equal(refused, 0);
  t.end();
});
