/**
 * The events of a stream that its caller has not taken yet.
 *
 * They wait in large buffers of their own instead of the response's: Node.js
 * needs several objects for each write that waits, which is ten times the size
 * of a small event and counts toward the bounded heap.
 * @module
 */
import type { ServerResponse } from "node:http";
import { ByteBuffer } from "@sycamorepulley/receiving";
import type { HeldStream } from "./entry_memory.ts";

/** Bytes that are written at once, and of a buffer that takes no more events. */
const BLOCK_BYTES = 16 * 1024;

/** Writes events to a response, the next ones when the last were taken. */
export class UnreadEvents {
  readonly #response: ServerResponse;
  readonly #held: HeldStream;
  readonly #blocks: ByteBuffer[] = [];
  /** Bytes of the blocks and of the write that is not finished. */
  #unread = 0;
  #isWriting = false;
  #ended = false;

  constructor(response: ServerResponse, held: HeldStream) {
    this.#response = response;
    this.#held = held;
  }

  /** Returns false if no more events should follow until it is resumed. */
  push(events: Buffer): boolean {
    this.#appendToBlock(events);
    this.#unread += events.length;
    if (!this.#isWriting) {
      this.#isWriting = true;
      // Events that arrive together are written together.
      queueMicrotask(() => this.#writeNext());
    }
    return this.#held.update(this.#unread);
  }

  /** Ends the response once all events were taken. */
  end(): void {
    this.#ended = true;
    this.#held.endReading();
    if (!this.#isWriting && !this.#response.destroyed) this.#response.end();
  }

  #appendToBlock(events: Buffer): void {
    const last = this.#blocks.at(-1);
    if (last !== undefined && last.length < BLOCK_BYTES) {
      last.append(events);
      return;
    }
    const block = new ByteBuffer();
    block.append(events);
    this.#blocks.push(block);
  }

  #writeNext(): void {
    if (this.#response.destroyed) return;
    const block = this.#blocks.shift();
    this.#isWriting = block !== undefined;
    if (block === undefined) {
      if (this.#ended) this.#response.end();
      return;
    }
    const bytes = block.take();
    this.#response.write(bytes, (error) => {
      if (error) return;
      this.#unread -= bytes.length;
      this.#held.recordTaken(this.#unread);
      this.#writeNext();
    });
  }
}
