import t from "tap";
import {
  checkCompleteResponses,
  checkDispatchedOnce,
  checkNotRunRefusals,
  exampleObjects,
  Fleet,
} from "../src/mod.ts";
import type { FleetOptions } from "../src/mod.ts";

const FLEET: FleetOptions = {
  entries: 2,
  backends: [
    ...[4, 8, 16].map((speed) => ({
      kind: "model" as const,
      service: "assistant",
      version: "assistant-1",
      options: { speed },
    })),
    ...[1, 2].map((callTime) => ({
      kind: "plain" as const,
      service: "bookings",
      version: "bookings-1",
      options: { callTime },
    })),
  ],
  objects: objectsWithoutUrgentTier(),
};

/** The example objects, but the organisation may not use the urgent tier. */
function objectsWithoutUrgentTier() {
  const objects = exampleObjects();
  objects.organisations[0]!.tiers = ["standard", "batch"];
  return objects;
}

const fleet = await Fleet.start(FLEET);
t.teardown(() => fleet.kill());
const caller = fleet.caller(fleet.entries[0]);
const otherCaller = fleet.caller(fleet.entries[1]);

t.test("a chat completion is answered", async (t) => {
  const outcome = await caller.chat({ marker: "plain", service: "assistant" });
  t.match(outcome, { type: "answered", status: 200, text: /^plain:1\/8 / });
});

t.test("a streamed chat completion is answered", async (t) => {
  const outcome = await otherCaller.chat({
    marker: "streamed",
    service: "assistant",
    stream: true,
    outputTokens: 40,
  });
  t.match(outcome, { type: "answered", ended: true, text: /streamed:40\/40/ });
});

t.test("an idempotent call of a plain service is answered", async (t) => {
  const outcome = await caller.callPlainService({
    marker: "lookup",
    service: "bookings",
    method: "GET",
    path: "/bookings/77",
  });
  t.match(outcome, { type: "answered", status: 404, text: /not found/ });
});

t.test("refusals state the reason and that the request has not run", async (t) => {
  const chat = { marker: "refused", service: "assistant" };
  const refused = { type: "refused", ran: "no" };
  t.match(await caller.chat({ ...chat, token: "wrong" }), {
    ...refused,
    status: 401,
    reason: "unauthorized",
  });
  t.match(await caller.chat({ ...chat, tier: "urgent" }), {
    ...refused,
    status: 403,
    reason: "tier_not_allowed",
  });
  t.match(await caller.chat({ ...chat, tier: "no-such-tier" }), {
    ...refused,
    status: 400,
    reason: "unknown_tier",
  });
  t.match(await caller.chat({ ...chat, service: "no-such-model" }), {
    ...refused,
    status: 404,
    reason: "unknown_model",
  });
  const booking = {
    marker: "refused",
    method: "POST",
    path: "/bookings",
  } as const;
  t.match(await caller.callPlainService({ ...booking, service: "bookings" }), {
    ...refused,
    reason: "idempotency_key_required",
  });
  t.match(
    await caller.callPlainService({ ...booking, service: "no-such-service" }),
    {
      ...refused,
      status: 404,
      reason: "unknown_service",
    },
  );
  t.match(await caller.chat({ ...chat, deadline: 1 }), {
    ...refused,
    reason: "deadline",
  });
});

t.test("refusals are counted by reason", async (t) => {
  const metrics = await fleet.entries[0]!.metrics();
  const names = [...metrics.keys()].filter((name) =>
    name.startsWith("sycamorepulley_refusals_total")
  );
  for (const reason of ["unauthorized", "unknown_model", "tier_not_allowed"]) {
    t.ok(names.some((name) => name.includes(`reason="${reason}"`)), reason);
  }
});

t.test("concurrent chat completions are all answered", async (t) => {
  const outcomes = await Promise.all(
    Array.from(
      { length: 60 },
      (_, index) =>
        (index % 2 === 0 ? caller : otherCaller).chat({
          marker: `crossing-${index}`,
          service: "assistant",
          stream: index % 3 === 0,
          outputTokens: 1 + index % 20,
        }),
    ),
  );
  t.same(outcomes.filter(({ type }) => type !== "answered"), []);
});

t.test("the histories of all calls pass the checks", async (t) => {
  const calls = [...caller.calls, ...otherCaller.calls];
  const chats = calls.filter(({ service }) => service === "assistant");
  const runs = await fleet.runs();
  t.ok(runs.length > 60);
  t.same(checkCompleteResponses(chats), []);
  t.same(checkDispatchedOnce(runs), []);
  t.same(checkNotRunRefusals(calls, runs), []);
});
