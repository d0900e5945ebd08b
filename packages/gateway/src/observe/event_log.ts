/**
 * Structured lines on standard output, bounded in number and never waited for.
 *
 * A reader of the output that stops reading would block a synchronous write and
 * with it every request. Lines go through one asynchronous write at a time, into
 * a bounded buffer; what does not fit is counted and said once there is room.
 * @module
 */
import "./log_environment.ts";
import { write } from "node:fs";
import { Roarr } from "roarr";
import type { LogEvent } from "./events.ts";

/** Most lines of one kind of event in a second; others are counted. */
const MAX_LINES_PER_SECOND = 100;
/** Most bytes that wait for a slow reader. */
const MAX_BUFFERED_LENGTH = 256 * 1024;
const STANDARD_OUTPUT = 1;

/** Where whole lines go. */
export abstract class LineSink {
  /** False when the line found no room. */
  abstract push(line: string): boolean;
}

/** Standard output, one asynchronous write at a time. */
export class StandardOutputSink extends LineSink {
  #queued: string[] = [];
  #bytes = 0;
  #writing = false;

  override push(line: string): boolean {
    if (this.#bytes + line.length > MAX_BUFFERED_LENGTH) return false;
    this.#queued.push(line);
    this.#bytes += line.length;
    if (!this.#writing) this.#flush();
    return true;
  }

  #flush(): void {
    if (this.#queued.length === 0) return;
    const text = this.#queued.join("\n") + "\n";
    this.#queued = [];
    this.#writing = true;
    this.#write(Buffer.from(text), 0);
  }

  #write(bytes: Buffer, from: number): void {
    write(
      STANDARD_OUTPUT,
      bytes,
      from,
      bytes.length - from,
      null,
      (error, written) => {
        if (error?.code === "EAGAIN") {
          setTimeout(() => this.#write(bytes, from), 20).unref();
          return;
        }
        if (error === null && from + written < bytes.length) {
          this.#write(bytes, from + written);
          return;
        }
        // Nobody can be told that the output itself is gone.
        this.#writing = false;
        this.#bytes = this.#queued.reduce((sum, line) => sum + line.length, 0);
        this.#flush();
      },
    );
  }
}

/** Writes events with the process's name; see the module for its bounds. */
export class EventLog {
  readonly #sink: LineSink;
  readonly #logger: typeof Roarr;
  readonly #clock: () => number;
  readonly #budgets = new Map<string, { since: number; lines: number }>();
  readonly #omitted = new Map<string, number>();

  constructor(
    options: { instance: string; sink: LineSink; clock: () => number },
  ) {
    this.#sink = options.sink;
    this.#clock = options.clock;
    this.#logger = Roarr.child({ instance: options.instance });
    (globalThis as { ROARR?: { write?: (line: string) => void } }).ROARR!
      .write = (line) => this.#push(line);
  }

  write(event: LogEvent): void {
    if (!this.#isAllowed(event.event)) return;
    this.#logOmitted();
    this.#writeLine(event);
  }

  #writeLine(event: LogEvent): void {
    const { event: name, ...context } = event;
    this.#logger.info(context as Record<string, string | number>, name);
  }

  #push(line: string): void {
    if (!this.#sink.push(line)) this.#countOmitted("all");
  }

  #isAllowed(name: string): boolean {
    const now = this.#clock();
    const budget = this.#budgets.get(name);
    if (budget === undefined || now - budget.since >= 1000) {
      this.#budgets.set(name, { since: now, lines: 1 });
      return true;
    }
    budget.lines++;
    if (budget.lines <= MAX_LINES_PER_SECOND) return true;
    this.#countOmitted(name);
    return false;
  }

  #countOmitted(name: string): void {
    this.#omitted.set(name, (this.#omitted.get(name) ?? 0) + 1);
  }

  /** States what was left out, once a second's budget begins anew. */
  #logOmitted(): void {
    if (this.#omitted.size === 0) return;
    const now = this.#clock();
    // A copy: a line that finds no room is counted here again, and the loop over
    // the map itself would never end while the reader stands still.
    for (const [of, lines] of [...this.#omitted]) {
      const budget = this.#budgets.get(of);
      if (budget !== undefined && now - budget.since < 1000) continue;
      this.#omitted.delete(of);
      this.#writeLine({ event: "omitted", of, lines });
    }
  }
}
