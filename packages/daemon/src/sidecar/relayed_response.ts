/** The progress of a response that is relayed chunk by chunk. @module */
import { WatchedResponse } from "@sycamorepulley/receiving";

/** While a chunk is passed on, nothing shows whether the response has ended. */
export class RelayedResponse extends WatchedResponse {
  #bytesRead = 0;
  #closedAt: number | undefined;
  #readingResumedAt = -Infinity;
  #isPassingOn = false;

  override get isOpen(): boolean {
    return this.#closedAt === undefined && !this.#isPassingOn;
  }

  override get bytesRead(): number {
    return this.#bytesRead;
  }

  override get closedAt(): number | undefined {
    return this.#closedAt;
  }

  override get readingResumedAt(): number {
    return this.#readingResumedAt;
  }

  /** Counts a chunk, and waits until `passOn` has passed it on. */
  async recordChunk(
    bytes: number,
    passOn: () => Promise<void>,
    clock: () => number,
  ): Promise<void> {
    this.#bytesRead += bytes;
    const startedAt = clock();
    this.#isPassingOn = true;
    await passOn();
    this.#isPassingOn = false;
    const now = clock();
    if (now > startedAt) this.#readingResumedAt = now;
  }

  recordEnd(now: number): void {
    this.#closedAt = now;
  }
}
