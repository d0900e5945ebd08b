import t from "tap";
import { Fixture } from "./fixture.ts";
import {
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";

t.test("a stream goes on at another server, in whole events", async (t) => {
  const fixture = await Fixture.startReady();
  let starts = 0;
  for (const server of fixture.servers) {
    server.respond = (response, received, socket) => {
      startEventStream(response, received);
      if (starts++ === 0) {
        response.write(streamEvent(1) + streamEvent(2) + "id: 3\ndata: pie");
        setTimeout(() => socket.destroy(), 30);
        return;
      }
      t.equal(received.headers["last-event-id"], "2");
      response.end(streamEvent(3) + streamEvent(4));
    };
  }
  const seen = await fixture.call("/resumed/", { method: "POST", body: "{}" });
  t.equal(seen.body, [1, 2, 3, 4].map(streamEvent).join(""));
  t.ok(seen.complete);
  await fixture.stop();
});

t.test("a stream goes on elsewhere when its server falls silent", async (t) => {
  // A server went dark in the middle of a stream, and its caller waited in vain.
  const fixture = await Fixture.startReady();
  let starts = 0;
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      startEventStream(response, received);
      if (starts++ === 0) response.write(streamEvent(1));
      else response.end(streamEvent(2));
    };
  }
  const seen = await fixture.call("/resumed/", {
    method: "POST",
    body: "{}",
    headers: { "x-time-left": "5000" },
  });
  t.equal(seen.body, streamEvent(1) + streamEvent(2));
  t.ok(seen.complete);
  await fixture.stop();
});

t.test("what may not be repeated is waited for, however silent", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      setTimeout(() => writeSealedHead(response, received).end("late"), 1300);
    };
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.match(seen, { status: 200, body: "late" });
  t.equal(
    fixture.servers.flatMap(({ receivedRequests: received }) => received)
      .length,
    1,
  );
  await fixture.stop();
});

t.test("a stream that can't be resumed ends visibly cut", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received, socket) => {
      startEventStream(response, received).write(streamEvent(1) + "id: 2\nda");
      setTimeout(() => socket.destroy(), 30);
    };
  }
  const seen = await fixture.call("/stream/", { method: "POST", body: "{}" });
  t.equal(seen.body, streamEvent(1));
  t.notOk(seen.complete);
  t.equal(
    fixture.servers.flatMap(({ receivedRequests: received }) => received)
      .length,
    1,
  );
  await fixture.stop();
});
