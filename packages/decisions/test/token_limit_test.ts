import t from "tap";
import { TokenLimit, WaitingQueue } from "../src/mod.ts";
import type { Cost } from "../src/mod.ts";
import type { EngineLimits } from "./simulated_engine.ts";
import { SimulatedEngine, tokenCost } from "./simulated_engine.ts";
import { waitingReservation } from "./waiting_reservation.ts";

const GOAL = 38;
const REPLY = tokenCost(500, 80);
const QUOTE = tokenCost(5000, 2000);
const IDENTIFICATION = tokenCost(400, 12);

function engineOf(speed: number, bounds: EngineLimits = {}) {
  const queue = new WaitingQueue({ capacity: 100 });
  const limit = new TokenLimit();
  const engine = new SimulatedEngine(queue, limit, bounds);
  engine.speed = speed;
  let count = 0;
  const offer = (cost: Cost, fields = {}) => {
    count += 1;
    const arrived = engine.now;
    const times = { arrived, deadline: arrived + 600_000 };
    const reservation = waitingReservation(`${count}`, {
      cost,
      ...times,
      ...fields,
    });
    queue.offer(reservation, arrived);
    return reservation.id;
  };
  const fillQueue = (cost: Cost, fields = {}) => {
    while (queue.size < 20) {
      offer(cost, fields);
    }
  };
  return { queue, limit, engine, offer, fillQueue };
}

/** Runs the engine for `seconds` and returns the mean step time in ms. */
function meanStep(
  engine: SimulatedEngine,
  seconds: number,
  arrive: () => void,
) {
  const start = engine.now;
  const steps = engine.steps;
  engine.run(start + seconds * 1000, arrive);
  return (engine.now - start) / (engine.steps - steps);
}

t.test("the limit meets the goal between tokens at each engine speed", (t) => {
  const sequences = [1, 2.5].map((speed) => {
    const { limit, engine, fillQueue } = engineOf(speed);
    engine.run(15_000, () => fillQueue(REPLY));
    const mean = meanStep(engine, 10, () => fillQueue(REPLY));
    t.ok(mean < GOAL * 1.1, `${mean} ms between tokens at speed ${speed}`);
    t.ok(
      mean > GOAL * 0.5 || limit.running > 60,
      "the engine is not underused",
    );
    return limit.running;
  });
  t.ok(
    (sequences[1] ?? 0) > 1.5 * (sequences[0] ?? 0),
    "a faster engine runs more sequences",
  );
  t.end();
});

// Guards against streams that stay slow after an engine lost 4/5 of its speed.
t.test("the limit of a slow engine falls within seconds and recovers", (t) => {
  const { limit, engine, fillQueue } = engineOf(2.5);
  const arrive = () => fillQueue(REPLY);
  engine.run(20_000, arrive);
  const before = limit.limit;
  engine.speed = 0.5;
  engine.run(23_000, arrive);
  t.ok(limit.limit < before / 1.5, `from ${before} to ${limit.limit}`);
  engine.run(32_000, arrive);
  t.ok(limit.limit < before / 4, `from ${before} to ${limit.limit}`);
  engine.speed = 2.5;
  engine.run(42_000, arrive);
  t.ok(limit.limit > before / 2, `from ${before} back to ${limit.limit}`);
  t.end();
});

// Guards against a limit that keeps admitting because no token is measured.
t.test("a stalled engine admits nothing more", (t) => {
  const limit = new TokenLimit();
  for (let index = 0; index < 3; index += 1) {
    limit.recordStart(String(index), REPLY, 0);
    limit.recordTokens(String(index), 1, 50);
  }
  limit.recordStart("late", REPLY, 5000);
  t.equal(limit.limit, 2);
  t.equal(limit.admits(waitingReservation("more", { cost: REPLY })), false);
  t.end();
});

t.test("single slow steps do not halve the limit", (t) => {
  const { limit, engine, fillQueue } = engineOf(1);
  engine.run(20_000, () => fillQueue(REPLY));
  const before = limit.limit;
  engine.noise = () => engine.steps % 200 === 0 ? 10 : 1;
  let lowest = Infinity;
  engine.run(40_000, () => {
    fillQueue(REPLY);
    lowest = Math.min(lowest, limit.limit);
  });
  t.ok(lowest > before / 2, `from ${before} down to ${lowest}`);
  t.end();
});

// Guards against one request at a time on an engine that misses 38 ms unloaded.
t.test("an engine that cannot meet the goal is still used", (t) => {
  const { limit, engine, fillQueue } = engineOf(0.25);
  engine.run(30_000, () => fillQueue(REPLY));
  t.ok(limit.running > 8, `${limit.running} running`);
  t.end();
});

// Guards against urgent requests waiting in an engine that runs 16 at once.
t.test("hardly anything waits inside the engine", (t) => {
  const { engine, offer, fillQueue } = engineOf(2.5, { sequences: 16 });
  engine.run(10_000, () => fillQueue(REPLY, { tierRank: 2 }));
  const urgent: string[] = [];
  engine.run(20_000, () => {
    fillQueue(REPLY, { tierRank: 2 });
    if (engine.steps % 50 === 0) {
      urgent.push(offer(REPLY));
    }
  });
  const late = urgent.slice(0, -2).filter((id) => {
    return (engine.responses.get(id)?.firstToken ?? Infinity) > 1300;
  });
  t.ok(urgent.length > 5);
  t.same(late, []);
  t.end();
});

// Guards against a tenth quote waiting in an engine with memory for nine.
t.test("quotes are not admitted to an engine whose memory is full", (t) => {
  const { engine, limit, offer, fillQueue } = engineOf(1, { tokens: 64_000 });
  const short: string[] = [];
  engine.run(300_000, () => {
    fillQueue(QUOTE);
    if (engine.steps % 100 === 0) {
      short.push(offer(IDENTIFICATION));
    }
  });
  t.ok(limit.tokenLimit < 90_000, `${limit.tokenLimit} tokens`);
  const late = short.filter((id) => {
    return (engine.responses.get(id)?.firstToken ?? Infinity) > 5000;
  });
  t.ok(late.length < 0.1 * short.length, `${late.length}/${short.length}`);
  t.end();
});

// Guards against quotes, 100 times as long, that occupy all slots for minutes.
t.test("quotes leave slots for identifications", (t) => {
  const { engine, offer, fillQueue } = engineOf(1);
  const short: string[] = [];
  engine.run(120_000, () => {
    fillQueue(QUOTE);
    if (engine.steps % 40 === 0) {
      short.push(offer(IDENTIFICATION));
    }
  });
  const inTime = short.filter((id) => {
    return (engine.responses.get(id)?.firstToken ?? Infinity) <= 1300;
  });
  t.ok(inTime.length > 0.9 * short.length, `${inTime.length}/${short.length}`);
  t.end();
});

// Guards against free capacity that is always too small for the quote.
t.test("identifications leave capacity for a quote", (t) => {
  const { engine, offer, fillQueue } = engineOf(1);
  engine.run(10_000, () => fillQueue(IDENTIFICATION));
  const quote = offer(QUOTE);
  engine.run(12_000, () => fillQueue(IDENTIFICATION));
  t.ok(engine.responses.has(quote) || engine.isRunning(quote));
  t.end();
});

t.test("smaller quotes do not starve a large one", (t) => {
  const { engine, offer, fillQueue } = engineOf(1);
  engine.run(60_000, () => fillQueue(tokenCost(4000, 900)));
  const large = offer(tokenCost(60_000, 2000));
  engine.run(180_000, () => fillQueue(tokenCost(4000, 900)));
  t.ok(engine.responses.has(large) || engine.isRunning(large));
  t.end();
});

t.test("a suspect runs alone, even on an engine that is never idle", (t) => {
  const { engine, offer, fillQueue, limit } = engineOf(1);
  engine.run(10_000, () => fillQueue(REPLY));
  const suspect = offer(REPLY, { suspect: true });
  let maxRunning = 0;
  engine.run(40_000, () => {
    fillQueue(REPLY);
    maxRunning = engine.isRunning(suspect)
      ? Math.max(maxRunning, limit.running)
      : maxRunning;
  });
  t.ok(engine.responses.get(suspect)?.finished);
  t.equal(maxRunning, 1);
  t.end();
});
