import t from "tap";
import type { Front } from "../src/front/front.ts";
import { GracefulStop } from "../src/graceful_stop.ts";
import type { Peers } from "../src/peers/peers.ts";
import { Closing } from "../src/request/closing.ts";
import type { RequestDesk } from "../src/request/request_desk.ts";
import type { ResolvedCall } from "../src/request/resolve_call.ts";

const LONG = {
  limitAt: 20_000,
  cost: { promptTokens: 6000, outputTokens: 900 },
} as ResolvedCall;

t.test("what is sent 3 s after the signal is not taken whole any more", async (t) => {
  // A long stream was sent 3.000 s after SIGTERM and taken, since the entry looked
  // at its clock only every 20 ms and its signal had come later than it was sent.
  // The end of the process cut the stream, which only earlier ones excuse.
  let now = 0;
  const closing = new Closing();
  const stop = new GracefulStop({
    front: { stopListening: () => {}, closeIdle: () => {} } as Front,
    desk: { active: 1 } as RequestDesk,
    peers: { anyStaying: () => false } as Peers,
    closing,
    clock: () => now,
    gracePeriod: 8000,
  });
  const finished = stop.finish();
  now = 2500;
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.equal(closing.latestStart(LONG), Infinity, "all is taken at first");
  now = 2850;
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.ok(closing.latestStart(LONG) < now, "a long stream no more");
  now = 8000;
  await finished;
  t.end();
});
