/** Progress of the response to one request, over all attempts. @module */
import type { StreamTiming } from "@sycamorepulley/decisions";

/** Timing of a response that tells nothing about the speed of its server. */
const NO_TIMING: StreamTiming = { tokens: 0, measured: 0, pausePart: 0 };

/** Records the parts of the response as they arrive; times in milliseconds. */
export class ResponseProgress {
  /** Id of the last event passed on. */
  lastEventId: string | undefined;
  firstPartAt: number | undefined;
  /** Number of times that one or several events were passed on. */
  eventCount = 0;
  longestPause = 0;
  /** When events were passed on last. */
  lastEventsAt: number | undefined;
  #wasDelayed = false;

  /** Whether another server can go on after the events that were passed on. */
  get isResumable(): boolean {
    return this.eventCount === 0 || this.lastEventId !== undefined;
  }

  /**
   * Whether the last event that was passed on is the one with this number.
   * Servers that number events otherwise than from 1 hardly meet it by chance.
   */
  endsWithEvent(number: number): boolean {
    return Number(this.lastEventId) === number;
  }

  /** Records the arrival of the first part of a response. */
  recordFirstPart(now: number): void {
    this.firstPartAt ??= now;
  }

  /** Records that events were passed on to the caller. */
  recordEvents(eventId: string | undefined, now: number): void {
    this.lastEventId = eventId ?? this.lastEventId;
    this.eventCount++;
    const pause = now - (this.lastEventsAt ?? now);
    this.lastEventsAt = now;
    this.longestPause = Math.max(this.longestPause, pause);
  }

  /**
   * Records that the server was kept from sending until now, as the caller did
   * not read.
   */
  recordCallerDelay(now: number): void {
    this.#wasDelayed = true;
    this.lastEventsAt = now;
  }

  /**
   * Timing by which the server is judged; empty if several servers took part,
   * if the caller delayed the response, or if events were passed on only once.
   * `acceptedPause`: longest pause in milliseconds that the route allows, if it
   * states one.
   */
  timing(
    serverCount: number,
    stream: { tokensPerEvent: number; acceptedPause: number | undefined },
    now: number,
  ): StreamTiming {
    const laterEvents = Math.max(0, this.eventCount - 1);
    if (
      laterEvents === 0 || serverCount > 1 || this.#wasDelayed ||
      this.firstPartAt === undefined
    ) {
      return NO_TIMING;
    }
    const { tokensPerEvent, acceptedPause } = stream;
    return {
      tokens: laterEvents * tokensPerEvent,
      measured: now - this.firstPartAt,
      pausePart: this.longestPause / (acceptedPause ?? Infinity),
    };
  }
}
