/** How far the answer to one request has come, over all servers tried. @module */

import type { StreamTiming } from "@sycamorepulley/decisions";

const NOTHING: StreamTiming = { tokens: 0, measured: 0, pausePart: 0 };

/** Times are those of the clock that the caller passes. */
export class AnswerProgress {
  /** Id of the last event passed on. */
  lastEvent: string | undefined;
  firstAt: number | undefined;
  events = 0;
  longestPause = 0;
  #heardAt: number | undefined;

  /** The first part of an answer came. */
  first(now: number): void {
    this.firstAt ??= now;
  }

  /** Events were passed on. */
  passed(lastId: string | undefined, now: number): void {
    this.lastEvent = lastId ?? this.lastEvent;
    this.events++;
    const pause = now - (this.#heardAt ?? now);
    this.#heardAt = now;
    this.longestPause = Math.max(this.longestPause, pause);
  }

  /**
   * What a server's pace is learned from; nothing where several had a part.
   * `acceptedPause` in milliseconds, if the route states one.
   */
  pace(
    servers: number,
    stream: { tokensPerEvent: number; acceptedPause: number | undefined },
    now: number,
  ): StreamTiming {
    const events = Math.max(0, this.events - 1);
    if (events === 0 || servers > 1 || this.firstAt === undefined) {
      return NOTHING;
    }
    const { tokensPerEvent, acceptedPause } = stream;
    return {
      tokens: events * tokensPerEvent,
      measured: now - this.firstAt,
      pausePart: this.longestPause / (acceptedPause ?? Infinity),
    };
  }
}
