import fc from "fast-check";
import t from "tap";
import { WaitingRequestLimiter } from "../src/mod.ts";

const ignoreEviction = () => {};

t.test("a full service refuses only its own requests", (t) => {
  // Guards against one service's waiting bodies filling the entry's memory.
  const limiter = new WaitingRequestLimiter(() => ({
    requests: 2,
    bytes: 100,
  }));
  const admit = (service: string, bytes: number) =>
    limiter.admit({ service, bytes, tierRank: 1, onEvicted: ignoreEviction });
  t.ok(admit("tags", 60).isOk);
  const tooManyBytes = admit("tags", 60);
  t.strictSame(
    tooManyBytes.isErr && tooManyBytes.error.reason,
    "too_many_bytes",
  );
  t.ok(admit("tags", 40).isOk);
  const tooManyRequests = admit("tags", 0);
  t.strictSame(tooManyRequests.isErr && tooManyRequests.error, {
    step: "admit",
    peer: "tags",
    reason: "too_many_waiting",
  });
  const tooLarge = admit("tags", 101);
  t.strictSame(tooLarge.isErr && tooLarge.error.reason, "body_too_large");
  t.ok(admit("bookings", 100).isOk);
  t.end();
});

t.test("releasing a request twice has no further effect", (t) => {
  const limiter = new WaitingRequestLimiter(() => ({
    requests: 1,
    bytes: 9,
  }));
  const request = {
    service: "tags",
    bytes: 9,
    tierRank: 0,
    onEvicted: ignoreEviction,
  };
  const admitted = limiter.admit(request);
  if (admitted.isErr) throw new Error(admitted.error.reason);
  admitted.value();
  admitted.value();
  t.strictSame(limiter.usageOf("tags"), { requests: 0, bytes: 0 });
  t.ok(limiter.admit(request).isOk);
  t.end();
});

t.test("a higher tier is never refused while a lower one waits", (t) => {
  const arrival = fc.record({
    tierRank: fc.integer({ min: 0, max: 4 }),
    bytes: fc.integer({ min: 0, max: 30 }),
    release: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(arrival, { maxLength: 200 }), (arrivals) => {
      const bounds = { requests: 8, bytes: 100 };
      const limiter = new WaitingRequestLimiter(() => bounds);
      const waiting = new Map<number, { tierRank: number; bytes: number }>();
      const releases = new Map<number, () => void>();
      for (const [number, { tierRank, bytes, release }] of arrivals.entries()) {
        const admitted = limiter.admit({
          service: "service",
          bytes,
          tierRank,
          onEvicted: () => {
            const evicted = waiting.get(number)!;
            const ranks = [...waiting.values()].map((held) => held.tierRank);
            if (Math.max(...ranks) > evicted.tierRank) {
              throw new Error("evicted a higher tier while a lower one waits");
            }
            waiting.delete(number);
          },
        });
        if (admitted.isOk) {
          waiting.set(number, { tierRank, bytes });
          releases.set(number, admitted.value);
        } else {
          // The request would not fit even if all lower tiers were evicted.
          const kept = [...waiting.values()].filter((held) =>
            held.tierRank <= tierRank
          );
          const keptBytes = kept.reduce((sum, held) => sum + held.bytes, 0);
          const fits = kept.length < bounds.requests &&
            keptBytes + bytes <= bounds.bytes;
          if (fits) return false;
        }
        if (release) {
          const [oldest] = waiting.keys();
          if (oldest !== undefined) {
            releases.get(oldest)!();
            waiting.delete(oldest);
          }
        }
        const held = limiter.usageOf("service");
        const sum = [...waiting.values()].reduce(
          (sum, one) => sum + one.bytes,
          0,
        );
        if (held.requests !== waiting.size || held.bytes !== sum) return false;
        if (held.requests > bounds.requests || held.bytes > bounds.bytes) {
          return false;
        }
      }
      return true;
    }),
    { seed: 20261202, numRuns: 300 },
  );
  t.pass("no counterexample");
  t.end();
});
