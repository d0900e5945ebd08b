import { LineSink } from "../src/mod.ts";

/** A logged event: its name and its fields. */
export type LoggedEvent = { message: string; context: Record<string, unknown> };

/** Records all lines; a process has one log, so the newest sink gets them. */
export class RecordingSink extends LineSink {
  readonly events: LoggedEvent[] = [];

  override push(line: string): boolean {
    this.events.push(JSON.parse(line));
    return true;
  }
}
