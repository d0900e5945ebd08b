/** Plays a crowd against one process, and watches the process. @module */
import { setTimeout as sleep } from "node:timers/promises";
import { waitFor } from "../process/wait_for.ts";
import type { BodyShape } from "./body_shape.ts";
import { callOnce, isServed } from "./call_once.ts";
import { Crowd } from "./crowd.ts";
import type { CrowdTarget } from "./crowd.ts";
import { ProcessWatch } from "./process_watch.ts";
import type { ProcessPeaks } from "./process_watch.ts";

/** Times that a crowd comes; what one leaves behind adds to the next. */
const WAVES = 2;
/** Milliseconds for which a crowd stays connected after it has sent. */
const STAY = 1000;
/** Descriptors that a process may open while a crowd leaves. */
const SPARE_DESCRIPTORS = 8;

/** Options of {@link playCrowd}. */
export type CrowdPlay = {
  target: CrowdTarget;
  processId: number;
  /** What the crowd does each time that it comes. */
  act: (crowd: Crowd) => Promise<void>;
  /** Body of the ordinary request that follows. */
  ordinary: BodyShape;
  /** Waits until an ordinary request is served while the crowd is connected. */
  servesBeside?: boolean;
};

/** What was seen of the process; `response` is to the ordinary request. */
export type CrowdOutcome = ProcessPeaks & { response: string };

/** Resolves once the crowd has left and an ordinary request was sent. */
export async function playCrowd(play: CrowdPlay): Promise<CrowdOutcome> {
  const { target, processId, act, ordinary, servesBeside = false } = play;
  const watch = new ProcessWatch(processId, target.port);
  const idle = watch.descriptors + SPARE_DESCRIPTORS;
  const callOrdinary = () => callOnce(target, ordinary);
  try {
    for (let wave = 1; wave <= WAVES; wave++) {
      const crowd = new Crowd(target);
      await act(crowd);
      await sleep(STAY);
      if (servesBeside) {
        await waitFor(
          "a request to be served beside the crowd",
          async () => isServed(await callOrdinary()),
        );
      }
      crowd.leave();
      await waitFor("the crowd to leave", () => watch.descriptors <= idle);
    }
    const response = await callOrdinary();
    return { ...watch.peaks, response };
  } finally {
    watch.stop();
  }
}
