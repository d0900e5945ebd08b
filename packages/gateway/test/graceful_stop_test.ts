import t from "tap";
import type { HttpFrontend } from "../src/front/http_frontend.ts";
import { GracefulStop } from "../src/graceful_stop.ts";
import type { Peers } from "../src/peers/peers.ts";
import { DrainAdmission } from "../src/request/drain_admission.ts";
import type { RequestHandler } from "../src/request/request_handler.ts";
import type { ResolvedRequest } from "../src/request/resolve_request.ts";

const LONG_STREAM = {
  deadline: 20_000,
  cost: { promptTokens: 6000, outputTokens: 900 },
} as ResolvedRequest;

t.test("a long stream sent 3 s after the stop signal is not admitted", async (t) => {
  // Guards against cutting it off: checks run every 20 ms, signals come late.
  let now = 0;
  const drainAdmission = new DrainAdmission();
  const stop = new GracefulStop({
    frontend: {
      stopListening: () => {},
      closeIdleConnections: () => {},
    } as HttpFrontend,
    requestHandler: {
      activeRequests: 1,
      refuseLate: () => {},
      endAllAtStop: () => {},
    } as unknown as RequestHandler,
    peers: { hasActivePeer: () => false } as Peers,
    drainAdmission,
    clock: () => now,
    gracePeriod: 8000,
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
