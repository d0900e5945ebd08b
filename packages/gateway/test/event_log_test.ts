import t from "tap";
import { EventLog, LineSink } from "../src/mod.ts";

class CollectingSink extends LineSink {
  readonly lines: string[] = [];
  full = false;

  override push(line: string): boolean {
    if (this.full) return false;
    this.lines.push(line);
    return true;
  }
}

function messages(sink: CollectingSink): string[] {
  return sink.lines.map((line) => JSON.parse(line).message);
}

t.test("lines of an event beyond its limit per second are omitted, counted, and the count is logged", (t) => {
  const sink = new CollectingSink();
  let now = 0;
  const log = new EventLog({ instance: "e", sink, clock: () => now });
  for (let count = 0; count < 500; count++) {
    log.write({ event: "left", request: "r", state: "sent", time: 1 });
  }
  t.ok(sink.lines.length <= 100);
  const writtenLines = sink.lines.length;
  now = 1500;
  log.write({ event: "dependency_regained", dependency: "store" });
  t.same(messages(sink).slice(writtenLines), [
    "omitted",
    "dependency_regained",
  ]);
  const omitted = JSON.parse(sink.lines[writtenLines]!).context;
  t.match(omitted, { of: "left", lines: 500 - writtenLines });
  t.end();
});

t.test("lines that do not fit are counted, and the count is logged once there is space", (t) => {
  // Guards against requests blocked by a log collector that stopped reading.
  const sink = new CollectingSink();
  let now = 0;
  const log = new EventLog({ instance: "e", sink, clock: () => now });
  sink.full = true;
  for (let count = 0; count < 5; count++) {
    log.write({ event: "dependency_regained", dependency: "store" });
  }
  t.equal(sink.lines.length, 0);
  sink.full = false;
  now = 2000;
  log.write({ event: "dependency_regained", dependency: "store" });
  const [omitted] = sink.lines.map((line) => JSON.parse(line));
  t.match(omitted, { message: "omitted", context: { of: "all" } });
  t.end();
});
