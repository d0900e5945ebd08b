import t from "tap";
import { entrySettings, launchDaemon, TemporaryDirectory } from "../src/mod.ts";

const PLATFORM = {
  keyValueStore: "http://127.0.0.1:1",
  instanceList: "http://127.0.0.1:1",
};
const directory = await TemporaryDirectory.create();
t.teardown(() => directory.remove());

async function runUntilExit(name: string, text: string) {
  const daemon = launchDaemon(await directory.write(name, text));
  const { code } = await daemon.exited;
  return { code, output: daemon.output };
}

t.test("an invalid field is reported with file and line", async (t) => {
  const settings = { ...entrySettings("entry-1", PLATFORM) };
  settings.http = { host: "127.0.0.1", port: 70000 };
  const text = `// entry\n${JSON.stringify(settings, undefined, 2)}`;
  const line = text.split("\n").findIndex((one) => one.includes("70000")) + 1;
  const { code, output } = await runUntilExit("port.jsonc", text);
  t.not(code, 0);
  t.match(output, new RegExp(`port\\.jsonc:${line}: http\\.port: use a port`));
});

t.test("a missing field is reported", async (t) => {
  const { instance: _, ...settings } = entrySettings("entry-1", PLATFORM);
  const { code, output } = await runUntilExit(
    "no.jsonc",
    JSON.stringify(settings),
  );
  t.not(code, 0);
  t.match(output, /no\.jsonc:1: instance: /);
});

t.test("invalid JSON is reported with its line", async (t) => {
  const { code, output } = await runUntilExit(
    "text.jsonc",
    '{\n"role": entry\n}',
  );
  t.not(code, 0);
  t.match(output, /text\.jsonc:2: /);
});

t.test("a missing file is reported", async (t) => {
  const daemon = launchDaemon(`${directory.path}/absent.jsonc`);
  const { code } = await daemon.exited;
  t.not(code, 0);
  t.match(daemon.output, /absent\.jsonc/);
});
