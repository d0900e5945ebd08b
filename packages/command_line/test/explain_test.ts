import { writeFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { command } from "./example.ts";

function logLine(instance: string, time: number, message: string, more = {}) {
  const context = { instance, logLevel: 30, ...more };
  return JSON.stringify({ context, message, time, version: "2.0.0" });
}

t.test("prints a request's lines from the logs of two processes in order of time", async (t) => {
  const directory = t.testdir();
  const first = join(directory, "one.log");
  const second = join(directory, "two.log");
  const request = "9c41";
  writeFileSync(
    first,
    [
      "not a log line",
      logLine("entry-1", 1000, "granted", { request, server: "s1", waited: 4 }),
      logLine("entry-1", 1001, "granted", { request: "other", server: "s1" }),
      logLine("entry-1", 1800, "cut", {
        request,
        server: "s1",
        reason: "reset",
      }),
    ].join("\n"),
  );
  writeFileSync(
    second,
    [
      logLine("entry-2", 2500, "answered", {
        request,
        server: "s2",
        status: 200,
      }),
      logLine("entry-2", 2600, "omitted", { of: "granted", lines: 12 }),
    ].join("\n"),
  );
  const { exitCode, output, errors } = await command(
    ["explain", request, second, first],
    {},
  );
  t.equal(exitCode, 0);
  const lines = output.split("\n").map((line) => line.trim());
  t.match(lines[0], /^\+0 ms {2}entry-1 {2}granted {2}server=s1 waited=4$/);
  t.match(lines[1], /^\+800 ms {2}entry-1 {2}cut .*reason=reset$/);
  t.match(lines[2], /^\+1500 ms {2}entry-2 {2}answered/);
  t.equal(lines.length, 3);
  t.match(errors, /entry-2 left out 12 lines of "granted"/);
});

t.test("reports a request that no log line mentions", async (t) => {
  const file = join(t.testdir(), "one.log");
  writeFileSync(file, logLine("entry-1", 1, "started"));
  const { exitCode, output } = await command(["explain", "none", file], {});
  t.equal(exitCode, 1);
  t.match(output, /no log line mentions request none/);
});

t.test("a file that can't be read is a usage error", async (t) => {
  const { exitCode, errors } = await command(["explain", "x", "/none"], {});
  t.equal(exitCode, 2);
  t.match(errors, /\/none/);
});
