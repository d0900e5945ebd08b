/** How far the answer to one request has come, over all servers tried. @module */

import type { StreamTiming } from "@sycamorepulley/decisions";

const NO_TIMING: StreamTiming = { tokens: 0, measured: 0, pausePart: 0 };

/** Times are those of the clock that the caller passes. */
export class ResponseProgress {
  /** Id of the last event passed on. */
  lastEvent: string | undefined;
  firstPartAt: number | undefined;
  eventCount = 0;
  longestPause = 0;
  #lastEventsAt: number | undefined;

  /** The first part of an answer came. */
  recordFirstPart(now: number): void {
    this.firstPartAt ??= now;
  }

  /** Events were passed on. */
  recordEvents(lastId: string | undefined, now: number): void {
    this.lastEvent = lastId ?? this.lastEvent;
    this.eventCount++;
    const pause = now - (this.#lastEventsAt ?? now);
    this.#lastEventsAt = now;
    this.longestPause = Math.max(this.longestPause, pause);
  }

  /**
   * What a server's pace is learned from; nothing where several had a part.
   * `acceptedPause` in milliseconds, if the route states one.
   */
  timing(
    serverCount: number,
    stream: { tokensPerEvent: number; acceptedPause: number | undefined },
    now: number,
  ): StreamTiming {
    const events = Math.max(0, this.eventCount - 1);
    if (events === 0 || serverCount > 1 || this.firstPartAt === undefined) {
      return NO_TIMING;
    }
    const { tokensPerEvent, acceptedPause } = stream;
    return {
      tokens: events * tokensPerEvent,
      measured: now - this.firstPartAt,
      pausePart: this.longestPause / (acceptedPause ?? Infinity),
    };
  }
}
