/**
 * Structured log lines on standard output, limited in number and never
 * blocking.
 *
 * If the reader of the output stops reading, a synchronous write would block
 * and with it every request. Lines are therefore kept in a bounded buffer and
 * written by one asynchronous write at a time. Lines that do not fit are
 * counted, and the count is logged once there is space again.
 * @module
 */
import "./log_environment.ts";
import { write } from "node:fs";
import { Roarr } from "roarr";
import type { LogEvent } from "./events.ts";

/** Maximum lines per second for each event; others are only counted. */
const MAX_LINES_PER_SECOND = 100;
/** Maximum characters of all lines that wait for a slow reader. */
const MAX_BUFFERED_LENGTH = 256 * 1024;
/** File descriptor. */
const STANDARD_OUTPUT = 1;

/** Destination of complete log lines. */
export abstract class LineSink {
  /** Returns false if there was no space for the line. */
  abstract push(line: string): boolean;
}

/** Writes lines to standard output, one asynchronous write at a time. */
export class StandardOutputSink extends LineSink {
  #queued: string[] = [];
  #bufferedLength = 0;
  #writing = false;

  override push(line: string): boolean {
    if (this.#bufferedLength + line.length > MAX_BUFFERED_LENGTH) return false;
    this.#queued.push(line);
    this.#bufferedLength += line.length;
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
        // An error of the output itself can't be reported anywhere.
        this.#writing = false;
        this.#bufferedLength = this.#queued.reduce(
          (sum, line) => sum + line.length,
          0,
        );
        this.#flush();
      },
    );
  }
}

/** Logs events with the instance's name, within the limits stated above. */
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

  /** Logs how many lines were omitted, once the event's second is over. */
  #logOmitted(): void {
    if (this.#omitted.size === 0) return;
    const now = this.#clock();
    // Iterates over a copy: a line that does not fit is counted in the map
    // again, so a loop over the map itself would never end while nobody reads
    // the output.
    for (const [of, lines] of [...this.#omitted]) {
      const budget = this.#budgets.get(of);
      if (budget !== undefined && now - budget.since < 1000) continue;
      this.#omitted.delete(of);
      this.#writeLine({ event: "omitted", of, lines });
    }
  }
}
