import t from "tap";
import type { HttpFrontend } from "../src/front/http_frontend.ts";
import { GracefulStop } from "../src/graceful_stop.ts";
import type { Peers } from "../src/peers/peers.ts";
import { TurnTimes } from "../src/turn_times.ts";
import { DrainAdmission } from "../src/request/drain_admission.ts";
import type { RequestHandler } from "../src/request/request_handler.ts";
import type { ResolvedRequest } from "../src/request/resolve_request.ts";

const LONG_STREAM = {
  deadline: 20_000,
  cost: { promptTokens: 6000, outputTokens: 900 },
} as ResolvedRequest;

/** A stop whose signal has just come, with one request that does not end. */
function startStop(options: {
  drainAdmission: DrainAdmission;
  clock: () => number;
  hasActivePeer: () => boolean;
}): GracefulStop {
  const { drainAdmission, clock, hasActivePeer } = options;
  return new GracefulStop({
    frontend: {
      stopListening: () => {},
      closeIdleConnections: () => {},
    } as HttpFrontend,
    requestHandler: {
      activeRequests: 1,
      refuseLate: () => {},
      endAllAtStop: () => {},
    } as unknown as RequestHandler,
    peers: { hasActivePeer } as Peers,
    drainAdmission,
    clock,
    signalledAt: clock(),
    gracePeriod: 8000,
  });
}

t.test("a long stream sent 3 s after the stop signal is not admitted", async (t) => {
  // Guards against cutting it off: checks run every 20 ms, signals come late.
  let now = 0;
  const drainAdmission = new DrainAdmission();
  const stop = startStop({
    drainAdmission,
    clock: () => now,
    hasActivePeer: () => false,
  });
  const finished = stop.finish();
  now = 2500;
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.ok(
    drainAdmission.accepts(LONG_STREAM, now),
    "all requests are accepted at first",
  );
  t.equal(drainAdmission.latestStartTime(LONG_STREAM, now), Infinity);
  now = 2850;
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.notOk(
    drainAdmission.accepts(LONG_STREAM, now),
    "a long stream is not accepted any more",
  );
  t.ok(drainAdmission.latestStartTime(LONG_STREAM, now) < now);
  now = 8000;
  await finished;
  t.end();
});

t.test("another entry counts once the load balancer knows it", async (t) => {
  // Guards against sending refused callers to an entry that has just started.
  let now = 0;
  let hasActivePeer = false;
  const drainAdmission = new DrainAdmission();
  const stop = startStop({
    drainAdmission,
    clock: () => now,
    hasActivePeer: () => hasActivePeer,
  });
  const finished = stop.finish();
  now = 3000;
  hasActivePeer = true;
  t.ok(drainAdmission.retryAfter(now) > 1000);
  now = 4600;
  t.ok(drainAdmission.retryAfter(now) < 100);
  now = 8000;
  await finished;
  t.end();
});

t.test("a signal may have been sent before the event loop stood still", (t) => {
  // Guards against a stop that lags behind the operator's clock.
  const turns = new TurnTimes();
  t.equal(turns.earliestSignal(5), 5, "no turn is known");
  for (const now of [10, 20, 900, 910, 920]) turns.record(now);
  t.ok(turns.earliestSignal(921) <= 20);
  for (const now of [930, 940, 950]) turns.record(now);
  t.ok(turns.earliestSignal(951) >= 900, "handled by then");
  t.end();
});

t.test("a refused caller returns when an entry accepts requests", (t) => {
  // Guards against waiting for a restart while another entry has room.
  const drainAdmission = new DrainAdmission();
  let isReplaced = true;
  drainAdmission.start({
    startedAt: 0,
    acceptsAllUntil: 2700,
    endsAt: 7600,
    isReplaced: () => isReplaced,
  });
  t.ok(drainAdmission.retryAfter(3000) < 100);
  isReplaced = false;
  t.ok(drainAdmission.retryAfter(3000) > 4600);
  t.end();
});
