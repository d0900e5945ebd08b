/** The queue from which a request's task takes its events. @module */

/** Queues events for a single reader and counts the bytes that they carry. */
export class Mailbox<Event extends { bytes?: Uint8Array | undefined }> {
  readonly #events: Event[] = [];
  #bufferedBytes = 0;
  #wake: (() => void) | undefined;

  /** Bytes carried by the events that have not been taken yet. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  put(event: Event): void {
    this.#events.push(event);
    this.#bufferedBytes += event.bytes?.byteLength ?? 0;
    this.#wake?.();
  }

  /** Takes the next event; undefined if none arrives in `wait` milliseconds. */
  async take(wait: number): Promise<Event | undefined> {
    if (this.#events.length === 0) await this.#sleep(wait);
    const event = this.#events.shift();
    this.#bufferedBytes -= event?.bytes?.byteLength ?? 0;
    return event;
  }

  #sleep(wait: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, wait));
      this.#wake = () => {
        clearTimeout(timer);
        this.#wake = undefined;
        resolve();
      };
    });
  }
}
