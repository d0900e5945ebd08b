import t from "tap";
import { startResettingServer } from "../../receiving/test/resetting_server.ts";
import { parseMix, runLoad, startEngine } from "../src/mod.ts";
import type { LoadOptions } from "../src/mod.ts";
import { parseLoadTarget } from "../src/load/load_target.ts";
import { pickPart } from "../src/load/mix.ts";

t.test("a load target must be a loopback address", (t) => {
  t.equal(parseLoadTarget("http://127.0.0.1:80/"), "http://127.0.0.1");
  for (
    const target of [
      "http://10.0.0.1",
      "http://127.0.0.1.example.org",
      "http://localhost",
      "https://127.0.0.1",
    ]
  ) {
    t.throws(() => parseLoadTarget(target), /loopback only/);
  }
  t.end();
});

t.test("a mix is parsed and its parts are picked by weight", (t) => {
  const mix = parseMix("chat/urgent=1,booking=3");
  t.same(mix, [
    { kind: "chat", tier: "urgent", weight: 1 },
    { kind: "booking", tier: undefined, weight: 3 },
  ]);
  t.equal(pickPart(mix, 0.2)?.kind, "chat");
  t.equal(pickPart(mix, 0.9)?.kind, "booking");
  t.throws(() => parseMix("swap=1"), /kind\/tier=weight/);
  t.end();
});

/** A short load of chats and streams. */
function shortLoad(target: string): LoadOptions {
  return {
    target,
    rate: 200,
    seconds: 0.3,
    seed: 7,
    mix: parseMix("chat=1,stream=1"),
    requestOptions: {
      model: "assistant",
      bookingService: "bookings",
      promptTokens: 10,
      outputTokens: 3,
      firstMessages: [],
      rareMessage: undefined,
      rareMessageEvery: 1,
      deadline: undefined,
      token: undefined,
      direct: true,
    },
  };
}

// Guards against a load that counts reset responses as answered.
t.test("a load counts a reset response without a length as broken", async (t) => {
  const server = await startResettingServer();
  t.teardown(() => server.close());
  const summaries = await runLoad(shortLoad(server.url));
  t.equal(summaries.reduce((sum, part) => sum + part.answered, 0), 0);
});

t.test("a load counts every response", async (t) => {
  const engine = await startEngine({ settings: { speed: 100 } });
  t.teardown(() => engine.close());
  const summaries = await runLoad(shortLoad(engine.url));
  const answered = summaries.reduce((sum, part) => sum + part.answered, 0);
  t.ok(answered > 0);
  t.equal(answered, engine.records.length);
});

t.test("a message that some requests of a load share crashes an engine", async (t) => {
  const engine = await startEngine({ settings: { speed: 100 } });
  t.teardown(() => engine.close());
  engine.setFaults({ crashMessages: ["bad"] });
  const [summary] = await runLoad({
    target: engine.url,
    rate: 200,
    seconds: 0.5,
    seed: 7,
    mix: parseMix("chat=1"),
    requestOptions: {
      model: "assistant",
      bookingService: "bookings",
      promptTokens: 10,
      outputTokens: 3,
      firstMessages: ["common"],
      rareMessage: "bad",
      rareMessageEvery: 40,
      deadline: undefined,
      token: undefined,
      direct: true,
    },
  });
  t.ok(summary!.answered > 0, "others are answered before");
  t.ok(summary!.others["broken"]! > 0, "the engine crashes");
});
