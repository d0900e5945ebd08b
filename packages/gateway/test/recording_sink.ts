import { LineSink } from "../src/mod.ts";

/** A logged event: its name and its inputs. */
export type LoggedEvent = { message: string; context: Record<string, unknown> };

/** Keeps all lines; a process has one log, so the last one made gets them. */
export class RecordingSink extends LineSink {
  readonly events: LoggedEvent[] = [];

  override push(line: string): boolean {
    this.events.push(JSON.parse(line));
    return true;
  }
}
