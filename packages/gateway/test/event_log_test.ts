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

t.test("a flood of one event is cut, counted and said", (t) => {
  const sink = new CollectingSink();
  let now = 0;
  const log = new EventLog({ instance: "e", sink, clock: () => now });
  for (let count = 0; count < 500; count++) {
    log.write({ event: "left", request: "r", state: "sent", time: 1 });
  }
  t.ok(sink.lines.length <= 100);
  const written = sink.lines.length;
  now = 1500;
  log.write({ event: "dependency_regained", dependency: "store" });
  t.same(messages(sink).slice(written), ["omitted", "dependency_regained"]);
  const omitted = JSON.parse(sink.lines[written]!).context;
  t.match(omitted, { of: "left", lines: 500 - written });
  t.end();
});

t.test("a reader that stops reading blocks nothing and is told later", (t) => {
  // The collector of the logs hangs. Lines that find no room are counted; none
  // is waited for.
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
