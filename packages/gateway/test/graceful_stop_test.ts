import t from "tap";
import type { HttpFrontend } from "../src/front/http_frontend.ts";
import { GracefulStop } from "../src/graceful_stop.ts";
import type { Peers } from "../src/peers/peers.ts";
import { DrainAdmission } from "../src/request/drain_admission.ts";
import type { RequestHandler } from "../src/request/request_handler.ts";
import type { ResolvedRequest } from "../src/request/resolve_request.ts";

const LONG = {
  deadline: 20_000,
  cost: { promptTokens: 6000, outputTokens: 900 },
} as ResolvedRequest;

t.test("what is sent 3 s after the signal is not taken whole any more", async (t) => {
  // A long stream was sent 3.000 s after SIGTERM and taken, since the entry looked
  // at its clock only every 20 ms and its signal had come later than it was sent.
  // The end of the process cut the stream, which only earlier ones excuse.
  let now = 0;
  const closing = new DrainAdmission();
  const stop = new GracefulStop({
    front: {
      stopListening: () => {},
      closeIdleConnections: () => {},
    } as HttpFrontend,
    desk: { activeRequests: 1 } as RequestHandler,
    peers: { anyStaying: () => false } as Peers,
    closing,
    clock: () => now,
    gracePeriod: 8000,
  });
  const finished = stop.finish();
  now = 2500;
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.equal(closing.latestStartTime(LONG), Infinity, "all is taken at first");
  now = 2850;
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.ok(closing.latestStartTime(LONG) < now, "a long stream no more");
  now = 8000;
  await finished;
  t.end();
});
