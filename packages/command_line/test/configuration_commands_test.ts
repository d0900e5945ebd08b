import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import t from "tap";
import { command, FILE, startPlatform } from "./example.ts";

/** Sets another deadline; the revision in the first line may have its digits. */
function withDeadline(text: string, milliseconds: number): string {
  return text.replace(
    '"defaultDeadline": 5000',
    `"defaultDeadline": ${milliseconds}`,
  );
}

t.test("publishes a file, then an edit of it based on the revision in its first line", async (t) => {
  const { command, file } = await startPlatform(t);
  t.match(await command("apply", file(FILE)), {
    exitCode: 0,
    output: /^published revision \d+$/,
  });
  const { output } = await command("get");
  t.match(
    output,
    /^\/\/ sycamorepulley: base revision \d+\n\{\n {2}\/\/ Served/,
  );
  const edited = file(withDeadline(output, 6000));
  t.match(await command("diff", edited), {
    exitCode: 0,
    output: /~ tiers\/urgent\n {4}defaultDeadline: 5000 -> 6000/,
  });
  t.match(await command("apply", edited), { exitCode: 0 });
  t.match(await command("get", "tiers", "urgent"), { output: /6000/ });
  t.match(await command("apply", edited, "--base", "1"), { exitCode: 3 });
});

t.test("without a base revision only a first publish is accepted", async (t) => {
  const { command, file } = await startPlatform(t);
  await command("apply", file(FILE));
  t.match(await command("apply", file(withDeadline(FILE, 7000))), {
    exitCode: 2,
    errors: /revision that .* is based on is unknown: state it with --base N/,
  });
});

t.test("a conflict reports who changed what and what to do", async (t) => {
  const { command, file } = await startPlatform(t);
  await command("apply", file(FILE));
  const { output: mine } = await command("get");
  const theirs = file(withDeadline(mine, 9000));
  await command("apply", theirs, "--by", "ana");
  const late = await command("apply", file(mine.replace("orders", "bookings")));
  t.equal(late.exitCode, 3);
  t.match(late.errors, /by ana at .*: tiers\/urgent/);
  t.match(late.errors, /\+ services\/bookings/);
  t.match(late.errors, /apply it with --base \d+$/);
});

t.test("problems are reported with their lines, and nothing is published", async (t) => {
  const { command, file } = await startPlatform(t);
  const wrong = file(
    FILE.replace('"defaultTier": "urgent"', '"defaultTier": "x"'),
  );
  for (const name of ["check", "apply"]) {
    t.match(await command(name, wrong), {
      exitCode: 1,
      errors: /fleet.jsonc:4: services\/orders: defaultTier: there is no tier/,
    });
  }
  const { output } = await command("check", wrong, "--json");
  t.match(JSON.parse(output), { exitCode: 1, problems: [{ line: 4 }] });
  t.match(await command("get"), {
    exitCode: 1,
    errors: /nothing is published/,
  });
});

// Guards against reporting an accepted publish as failed after a lost response.
t.test("a publish is resolved although its responses are lost", async (t) => {
  const { command, file, store } = await startPlatform(t);
  const body = JSON.stringify({ lostWriteAnswers: 99 });
  await fetch(`${store.url}/faults`, { method: "PUT", body });
  const path = file(FILE);
  const published = await command("apply", path, "--publish-id", "mine");
  t.match(
    published,
    { exitCode: 0 },
    "a rejected retry finds the publish in the stored value",
  );
  await fetch(`${store.url}/faults`, { method: "PUT", body: "{}" });
  t.match(await command("apply", path, "--base", "0", "--publish-id", "mine"), {
    exitCode: 0,
    output: /nothing to change/,
  });
});

t.test("an unreachable service and a wrong command have different exit codes", async (t) => {
  const path = t.testdir({ "fleet.jsonc": FILE }) + "/fleet.jsonc";
  const store = ["--store", "http://127.0.0.1:1"];
  t.match(await command(["apply", path, "--base", "0", ...store], {}), {
    exitCode: 4,
    errors: /nothing was changed/,
  });
  const wrong = [
    ["apply", path, "--base", "0"],
    ["apply", path, "--base", "x", ...store],
    ["apply", `${path}-absent`, ...store],
    ["get", "teirs", ...store],
    ["status", "--store", "nowhere"],
    ["delete"],
  ];
  for (const commandArguments of wrong) {
    t.match(await command(commandArguments, {}), {
      exitCode: 2,
      errors: /See --help/,
    });
  }
});

t.test("the built program runs and ends with its exit code", (t) => {
  const program = fileURLToPath(
    new URL("../bin/sycamorepulley.js", import.meta.url),
  );
  t.match(readFileSync(program, "utf8"), /^#!\/usr\/bin\/env node/);
  const path = t.testdir({ "fleet.jsonc": FILE }) + "/fleet.jsonc";
  const output = execFileSync(process.execPath, [program, "check", path]);
  t.match(output.toString(), /no problems \(1 services, 1 tiers/);
  t.throws(() =>
    execFileSync(process.execPath, [program, "check"], { stdio: "pipe" })
  );
  t.end();
});
