/** Watches an answer pass by: its progress and whether it is whole. @module */

/** What one piece of an answer showed. */
export type MeterReading = { outputTokens: number };

/** Reads an answer's bytes without changing them. */
export abstract class AnswerMeter {
  abstract read(bytes: Uint8Array): MeterReading;
  /** Whether the bytes read so far end the answer by its own format. */
  abstract get whole(): boolean;
}

/** An answer whose end only the transport tells. */
export class PlainAnswerMeter extends AnswerMeter {
  override get whole(): boolean {
    return true;
  }

  override read(): MeterReading {
    return { outputTokens: 0 };
  }
}

const EVENT_MARK = "data:";
const LAST_EVENT = "[DONE]";

/**
 * Server-sent events of a chat completion: about one token each.
 *
 * Guards against a stream cut at an event's end: where the engine delimits
 * the answer by closing the connection, a crash looks like the end. Only the
 * last event `[DONE]` makes the answer whole.
 */
export class EventStreamMeter extends AnswerMeter {
  #line = "";
  #done = false;
  readonly #decoder = new TextDecoder();

  override get whole(): boolean {
    return this.#done;
  }

  override read(bytes: Uint8Array): MeterReading {
    const lines = (this.#line + this.#decoder.decode(bytes, { stream: true }))
      .split("\n");
    this.#line = lines.pop() ?? "";
    let outputTokens = 0;
    for (const line of lines) {
      if (!line.startsWith(EVENT_MARK)) continue;
      if (line.slice(EVENT_MARK.length).trim() === LAST_EVENT) {
        this.#done = true;
      } else {
        outputTokens += 1;
      }
    }
    return { outputTokens };
  }
}

/** The meter that fits an answer's headers. */
export function meterFor(
  options: { kind: "model" | "plain"; status: number; contentType: string },
): AnswerMeter {
  const { kind, status, contentType } = options;
  const streamed = kind === "model" && status < 300 &&
    contentType.startsWith("text/event-stream");
  return streamed ? new EventStreamMeter() : new PlainAnswerMeter();
}
