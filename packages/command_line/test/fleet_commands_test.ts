import { HttpInstanceList } from "@sycamorepulley/store";
import type { Status } from "@sycamorepulley/store";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import type { Test } from "tap";
import { FILE, startPlatform } from "./example.ts";

const ENTRY: Status = {
  instance: "entry-1",
  role: "entry",
  dataCentre: "north",
  configurationRevision: 0,
  ready: true,
  leaving: false,
  uptime: 65_000,
  refusals: { queue_full: 3, budget: 1 },
  retries: { unhealthy: 2 },
  waiting: 4,
  running: 5,
  moves: [{
    name: "to-v2",
    service: "orders",
    from: "v1",
    to: "v2",
    share: 0.02,
    state: "moving",
    deadline: "2030-01-01T00:00:00Z",
  }],
};

/** Starts a server for `/status` and registers it in the instance list. */
async function startProcess(t: Test, listUrl: string, status: Status) {
  const server = createServer((_request, response) => {
    response.end(JSON.stringify(status));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await registerProcess(t, listUrl, { ...status, statusPort: port });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
}

async function registerProcess(
  t: Test,
  listUrl: string,
  options: Pick<Status, "instance" | "role"> & { statusPort: number },
) {
  const list = new HttpInstanceList({ url: listUrl });
  t.teardown(() => list.close());
  const registered = await list.register({
    name: options.instance,
    role: options.role,
    host: "127.0.0.1",
    port: 1,
    dataCentre: "north",
    leaving: false,
    statusPort: options.statusPort,
  });
  t.ok(registered.isOk);
}

t.test("status shows which processes lag behind the published revision", async (t) => {
  const { command, file, instances } = await startPlatform(t);
  await command("apply", file(FILE));
  const { output } = await command("get", "--json");
  const { revision } = JSON.parse(output);
  await startProcess(t, instances.url, {
    ...ENTRY,
    configurationRevision: revision,
  });
  t.match(await command("status"), {
    exitCode: 0,
    output: /entry-1 .* ready .* 4 .* 5 .* 1m 5s\n.*in force in 1 of 1/,
  });
  await startProcess(t, instances.url, { ...ENTRY, instance: "entry-2" });
  t.match(await command("status"), { exitCode: 1, output: /in 1 of 2/ });
  t.match(JSON.parse((await command("status", "--json")).output), {
    publishedRevision: revision,
    processes: [{ instance: "entry-1" }, { instance: "entry-2" }],
  });
});

t.test("status reports an unreachable process and an outage", async (t) => {
  const { command, instances, store } = await startPlatform(t);
  await startProcess(t, instances.url, ENTRY);
  const unreachable = {
    instance: "gone",
    role: "entry" as const,
    statusPort: 1,
  };
  await registerProcess(t, instances.url, unreachable);
  const body = JSON.stringify({ outage: "refuse" });
  await fetch(`${store.url}/faults`, { method: "PUT", body });
  const status = await command("status");
  t.equal(status.exitCode, 4);
  t.match(status.output, /gone .* no answer/);
  t.match(status.errors, /1 listed processes gave no answer/);
  t.match(status.errors, /published revision is not known/);
});

t.test("apply --wait reports that a publish is not in force in time", async (t) => {
  const { command, file, instances } = await startPlatform(t);
  const path = file(FILE);
  await startProcess(t, instances.url, ENTRY);
  t.match(await command("apply", path, "--wait", "0"), {
    exitCode: 4,
    output: /in force in 0 of 1/,
    errors: /not in force everywhere/,
  });
});

t.test("sums refusals and retries, lists instances and moves", async (t) => {
  const { command, instances } = await startPlatform(t);
  await startProcess(t, instances.url, ENTRY);
  await startProcess(t, instances.url, { ...ENTRY, instance: "entry-2" });
  const refusals = JSON.parse((await command("refusals", "--json")).output);
  t.match(refusals, {
    refusals: { queue_full: 6, budget: 2 },
    retries: { unhealthy: 4 },
  });
  t.match(await command("refusals"), { output: /refusal {2}queue_full {2}6/ });
  t.match(await command("instances"), { output: /entry-2 .* live/ });
  t.match(await command("moves"), { output: /to-v2 .* moving .* 2% / });
});
