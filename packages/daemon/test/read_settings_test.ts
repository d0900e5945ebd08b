import t from "tap";
import {
  describeProblem,
  parseSettings,
  readSettings,
} from "../src/common/read_settings.ts";

const entry = `{
  // One of the entries behind the load balancer.
  "role": "entry",
  "instance": "entry-1",
  "dataCentre": "maribor",
  "http": { "host": "127.0.0.1", "port": 0 },
  "status": { "host": "127.0.0.1", "port": 0 },
  "protocol": { "host": "127.0.0.1", "port": 0 },
  "platform": {
    "keyValueStore": "http://127.0.0.1:7001",
    "instanceList": "http://127.0.0.1:7002",
  },
}`;

function problems(text: string): string[] {
  const parsed = parseSettings(text, "entry.jsonc");
  return parsed.isErr ? parsed.error.map(describeProblem) : [];
}

t.test("comments and trailing commas are accepted", (t) => {
  const parsed = parseSettings(entry, "entry.jsonc");
  t.ok(parsed.isOk && parsed.value.role === "entry");
  t.end();
});

t.test("an invalid port is reported with file, line and field", (t) => {
  const text = entry.replace(`"port": 0`, `"port": 70000`);
  t.match(problems(text)[0], /^entry\.jsonc:6: http\.port: use a port/);
  t.end();
});

t.test("a missing field is reported", (t) => {
  const text = entry.replace(`"dataCentre": "maribor",`, "");
  t.match(problems(text)[0], /dataCentre/);
  t.end();
});

t.test("an unknown field is reported", (t) => {
  const text = entry.replace(`"instance"`, `"instanse": 1, "instance"`);
  t.match(problems(text)[0], /instanse/);
  t.end();
});

t.test("a syntax error is reported with its line", (t) => {
  const text = `{\n  "role": "entry"\n  "instance": 1 }`;
  t.match(problems(text)[0], /:3: not JSON/);
  t.end();
});

t.test("the example settings are valid", (t) => {
  for (const role of ["entry", "sidecar"]) {
    const read = readSettings(`examples/${role}.jsonc`);
    t.equal(read.isErr ? read.error : read.value.role, role);
  }
  t.end();
});

t.test("a missing file is reported", (t) => {
  const read = readSettings("examples/none.jsonc");
  t.match(read.isErr && read.error[0]?.message, /can't be read/);
  t.end();
});
