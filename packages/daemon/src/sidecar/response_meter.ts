/** Measures a response as it is streamed: its progress, and its end. @module */

/** What one chunk of a response contained. */
export type MeterReading = { outputTokens: number };

/** Reads the bytes of a response without changing them. */
export abstract class ResponseMeter {
  abstract read(bytes: Uint8Array): MeterReading;
  /**
   * Whether the bytes read so far form a complete response according to its
   * format.
   */
  abstract get isComplete(): boolean;
}

/** Measures a response whose end only the transport marks. */
export class PlainResponseMeter extends ResponseMeter {
  override get isComplete(): boolean {
    return true;
  }

  override read(): MeterReading {
    return { outputTokens: 0 };
  }
}

const EVENT_PREFIX = "data:";
const LAST_EVENT = "[DONE]";

/**
 * Measures the server-sent events of a chat completion, about one token each.
 *
 * If the engine marks the end of a response by closing the connection, a crash
 * between two events looks like the end. Therefore a response is complete only
 * after its last event, `[DONE]`.
 */
export class EventStreamMeter extends ResponseMeter {
  #partialLine = "";
  #done = false;
  readonly #decoder = new TextDecoder();

  override get isComplete(): boolean {
    return this.#done;
  }

  override read(bytes: Uint8Array): MeterReading {
    const lines =
      (this.#partialLine + this.#decoder.decode(bytes, { stream: true }))
        .split("\n");
    this.#partialLine = lines.pop() ?? "";
    let outputTokens = 0;
    for (const line of lines) {
      if (!line.startsWith(EVENT_PREFIX)) continue;
      if (line.slice(EVENT_PREFIX.length).trim() === LAST_EVENT) {
        this.#done = true;
      } else {
        outputTokens += 1;
      }
    }
    return { outputTokens };
  }
}

/** Creates the meter for a response, by its status and content type. */
export function createMeter(
  options: { kind: "model" | "plain"; status: number; contentType: string },
): ResponseMeter {
  const { kind, status, contentType } = options;
  const streamed = kind === "model" && status < 300 &&
    contentType.startsWith("text/event-stream");
  return streamed ? new EventStreamMeter() : new PlainResponseMeter();
}
