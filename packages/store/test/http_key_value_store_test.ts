import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import type { Test } from "tap";
import { CallBudget, HttpKeyValueStore } from "../src/mod.ts";
import type { PlatformError } from "../src/mod.ts";

async function storeBefore(t: Test, listener: RequestListener) {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const store = new HttpKeyValueStore({
    url: `http://127.0.0.1:${port}`,
    timeout: 300,
  });
  t.teardown(async () => {
    await store.close();
    server.closeAllConnections();
    server.close();
  });
  return store;
}

async function errorOfWrite(store: HttpKeyValueStore): Promise<PlatformError> {
  const swap = { key: "a/b", expected: 0, value: "x" };
  const outcome = await store.compareAndSwap(swap);
  if (outcome.isOk) {
    throw new Error("the write went through");
  }
  return outcome.error;
}

t.test("a refused connection says that nothing was written", async (t) => {
  const store = new HttpKeyValueStore({ url: "http://127.0.0.1:1" });
  t.match(await errorOfWrite(store), {
    reason: "unreachable",
    applied: "no",
    peer: "http://127.0.0.1:1",
    step: "compare-and-swap",
  });
  await store.close();
});

t.test("a cut answer leaves a write unknown", async (t) => {
  const store = await storeBefore(t, (request) => request.socket.destroy());
  t.match(await errorOfWrite(store), { applied: "unknown" });
});

t.test("a silent service leaves a write unknown", async (t) => {
  const store = await storeBefore(t, () => {});
  t.match(await errorOfWrite(store), { reason: "timeout", applied: "unknown" });
});

t.test("a status of the service's own refusal writes nothing", async (t) => {
  for (
    const [status, applied] of [[503, "no"], [409, "no"], [500, "unknown"]]
  ) {
    const store = await storeBefore(t, (_request, response) => {
      response.writeHead(Number(status)).end("no");
    });
    t.match(await errorOfWrite(store), { reason: "status", applied });
  }
});

t.test("an answer without a revision is malformed", async (t) => {
  const store = await storeBefore(t, (_request, response) => {
    response.writeHead(200).end("x");
  });
  const outcome = await store.get("a");
  t.match(outcome.isErr && outcome.error, {
    reason: "malformed",
    applied: "no",
  });
});

t.test("too large and over budget are found before sending", async (t) => {
  let calls = 0;
  const store = await storeBefore(t, () => calls += 1);
  const value = "ž".repeat(512 * 1024 + 1);
  const large = await store.compareAndSwap({ key: "a", expected: 0, value });
  t.match(large.isErr && large.error, { reason: "too_large", applied: "no" });
  const poor = new HttpKeyValueStore({
    url: "http://127.0.0.1:1",
    budget: new CallBudget({ perSecond: 1, burst: 0 }),
  });
  t.match(await errorOfWrite(poor), { reason: "budget", applied: "no" });
  t.equal(calls, 0);
  await poor.close();
});
