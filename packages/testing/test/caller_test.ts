import { startEngine } from "@sycamorepulley/emulator";
import type { FaultsInput } from "@sycamorepulley/emulator";
import t from "tap";
import type { Test } from "tap";
import { startResettingServer } from "../../receiving/test/resetting_server.ts";
import { Caller, checkCompleteResponses } from "../src/mod.ts";

async function callEngine(t: Test, faults: FaultsInput = {}) {
  const engine = await startEngine({ settings: { speed: 100 } });
  const caller = new Caller({ url: engine.url, token: "unread" });
  t.teardown(async () => {
    await caller.close();
    await engine.close();
  });
  engine.setFaults(faults);
  const chat = { service: "assistant", outputTokens: 5 };
  await caller.chat({ ...chat, marker: "whole" });
  await caller.chat({ ...chat, marker: "streamed", stream: true });
  return caller.calls;
}

t.test("complete responses are recorded as answered", async (t) => {
  const calls = await callEngine(t);
  t.match(calls, [
    { marker: "whole", outcome: { type: "answered", status: 200 } },
    { marker: "streamed", outcome: { type: "answered", ended: true } },
  ]);
  t.same(checkCompleteResponses(calls), []);
});

t.test("truncated responses are recorded as broken", async (t) => {
  const calls = await callEngine(t, { cutAfterTokens: 2 });
  t.match(calls, [
    { outcome: { type: "broken" } },
    { outcome: { type: "broken", text: /streamed:2/ } },
  ]);
});

// Guards against checks that take a reset response for a complete one.
t.test("a reset response without a length is recorded as broken", async (t) => {
  const server = await startResettingServer();
  const caller = new Caller({ url: server.url, token: "unread" });
  t.teardown(async () => {
    await caller.close();
    server.close();
  });
  for (let call = 0; call < 10; call++) {
    await caller.chat({ service: "assistant", marker: `${call}` });
  }
  const types = caller.calls.map(({ outcome }) => outcome.type);
  t.strictSame(types, Array(10).fill("broken"));
});
