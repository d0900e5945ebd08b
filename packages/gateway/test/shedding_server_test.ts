import { setTimeout } from "node:timers/promises";
import t from "tap";
import { Fixture } from "./fixture.ts";
import { writeSealedHead } from "./fake_backend_server.ts";

/** Milliseconds that the server takes that runs requests. */
const RESPONSE_TIME = 30;
const CALLS = 200;

t.test("a server that turns all requests away does not attract them", async (t) => {
  // Guards against taking a refusal within a millisecond for a fast response.
  const fixture = await Fixture.startReady();
  const [shedding, working] = fixture.servers;
  shedding.respond = (response) =>
    response.writeHead(503, { "x-not-run": "1" }).end();
  working.respond = async (response, received) => {
    await setTimeout(RESPONSE_TIME);
    writeSealedHead(response, received).end("ok");
  };
  let served = 0;
  for (let call = 0; call < CALLS; call++) {
    const { status } = await fixture.call("/calls/");
    if (status === 200) served++;
  }
  const turnedAway = shedding.receivedRequests.length;
  t.ok(turnedAway <= CALLS / 10, `${turnedAway} of ${CALLS} turned away`);
  t.ok(served >= CALLS * 0.95, `${served} of ${CALLS} served`);
  await fixture.stop();
});

t.test("a server that fails at once does not look fast", async (t) => {
  const fixture = await Fixture.startReady();
  const [failing, working] = fixture.servers;
  failing.respond = (response, received) =>
    response.writeHead(500, {
      "x-request": String(received.headers["x-request"]),
      "x-seal": "sealed",
    }).end();
  working.respond = async (response, received) => {
    await setTimeout(RESPONSE_TIME);
    writeSealedHead(response, received).end("ok");
  };
  for (let call = 0; call < CALLS; call++) await fixture.call("/calls/");
  const failed = failing.receivedRequests.length;
  t.ok(failed <= CALLS / 10, `${failed} of ${CALLS} failed`);
  await fixture.stop();
});
