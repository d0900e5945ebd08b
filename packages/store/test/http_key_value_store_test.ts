import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import type { Test } from "tap";
import { CallBudget, HttpKeyValueStore } from "../src/mod.ts";
import type { PlatformError } from "../src/mod.ts";

async function startStore(t: Test, listener: RequestListener) {
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

async function writeError(store: HttpKeyValueStore): Promise<PlatformError> {
  const swap = { key: "a/b", expected: 0, value: "x" };
  const outcome = await store.compareAndSwap(swap);
  if (outcome.isOk) {
    throw new Error("expected the write to fail");
  }
  return outcome.error;
}

t.test("reports a refused connection as a write not applied", async (t) => {
  const store = new HttpKeyValueStore({ url: "http://127.0.0.1:1" });
  t.match(await writeError(store), {
    reason: "unreachable",
    applied: "no",
    peer: "http://127.0.0.1:1",
    step: "compare-and-swap",
  });
  await store.close();
});

t.test("reports a write as unknown when the connection breaks", async (t) => {
  const store = await startStore(t, (request) => request.socket.destroy());
  t.match(await writeError(store), { applied: "unknown" });
});

t.test("reports a write as unknown after a timeout", async (t) => {
  const store = await startStore(t, () => {});
  t.match(await writeError(store), { reason: "timeout", applied: "unknown" });
});

t.test("derives from an error's status whether a write was applied", async (t) => {
  for (
    const [status, applied] of [[503, "no"], [409, "no"], [500, "unknown"]]
  ) {
    const store = await startStore(t, (_request, response) => {
      response.writeHead(Number(status)).end("no");
    });
    t.match(await writeError(store), { reason: "status", applied });
  }
});

t.test("reports a response without a revision as malformed", async (t) => {
  const store = await startStore(t, (_request, response) => {
    response.writeHead(200).end("x");
  });
  const outcome = await store.get("a");
  t.match(outcome.isErr && outcome.error, {
    reason: "malformed",
    applied: "no",
  });
});

t.test("rejects large values and calls over budget before sending", async (t) => {
  let calls = 0;
  const store = await startStore(t, () => calls += 1);
  const value = "ž".repeat(512 * 1024 + 1);
  const tooLarge = await store.compareAndSwap({ key: "a", expected: 0, value });
  t.match(tooLarge.isErr && tooLarge.error, {
    reason: "too_large",
    applied: "no",
  });
  const overBudget = new HttpKeyValueStore({
    url: "http://127.0.0.1:1",
    budget: new CallBudget({ perSecond: 1, burst: 0 }),
  });
  t.match(await writeError(overBudget), { reason: "budget", applied: "no" });
  t.equal(calls, 0);
  await overBudget.close();
});
