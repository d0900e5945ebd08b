/** Events for one request, taken one at a time by its task. @module */

/** Queues events for a single reader; counts the bytes it holds. */
export class Mailbox<Event extends { bytes?: Uint8Array | undefined }> {
  readonly #events: Event[] = [];
  #heldBytes = 0;
  #wake: (() => void) | undefined;

  /** Bytes of the events not yet taken. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  put(event: Event): void {
    this.#events.push(event);
    this.#heldBytes += event.bytes?.byteLength ?? 0;
    this.#wake?.();
  }

  /** The next event, or undefined once `wait` milliseconds have passed. */
  async take(wait: number): Promise<Event | undefined> {
    if (this.#events.length === 0) await this.#sleep(wait);
    const event = this.#events.shift();
    this.#heldBytes -= event?.bytes?.byteLength ?? 0;
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
