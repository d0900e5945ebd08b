import { connect } from "node:net";
import t from "tap";
import { Fixture, storedServer } from "./fixture.ts";
import {
  FakeBackendServer,
  rawResponseHead,
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";

t.test("a request is forwarded as it is, with the system's own headers", async (t) => {
  const fixture = await Fixture.startReady();
  const seen = await fixture.call("/calls/x?q=1", {
    method: "POST",
    body: "text",
    headers: {
      "x-hold": "forged",
      "x-organisation": "forged",
      "x-other": "kept",
      connection: "x-dropped, x-request",
      "x-dropped": "1",
    },
  });
  t.equal(seen.status, 200);
  t.equal(seen.headers["x-seal"], "sealed");
  const received = fixture.servers.flatMap(({ receivedRequests: received }) =>
    received
  );
  t.equal(received.length, 1);
  const [got] = received;
  t.match(got, { method: "POST", target: "/calls/x?q=1", body: "text" });
  t.match(got?.headers, {
    host: "a.example",
    "x-request": "request-1",
    "x-organisation": "firm",
    "x-expected-server": /^s[01]$/,
    "x-other": "kept",
  });
  for (const name of ["x-hold", "x-credential", "x-dropped"]) {
    t.equal(got?.headers[name], undefined, name);
  }
  t.ok(Number(got?.headers["x-time-left"]) <= 1500);
  await fixture.stop();
});

t.test("what no configuration allows is refused with its reason", async (t) => {
  const fixture = await Fixture.startReady();
  t.equal((await fixture.call("/none/")).status, 404);
  const wrong = { "x-credential": "wrong" };
  t.equal((await fixture.call("/calls/", { headers: wrong })).status, 401);
  const long = { method: "POST", body: "x".repeat(2000) };
  t.equal((await fixture.call("/calls/", long)).status, 413);
  const head = { "x-long": "x".repeat(16_400) };
  t.equal((await fixture.call("/calls/", { headers: head })).status, 431);
  t.equal(
    fixture.servers.flatMap(({ receivedRequests: received }) => received)
      .length,
    0,
  );
  await fixture.stop();
});

t.test("an idempotent call goes to another server after a broken answer", async (t) => {
  const fixture = await Fixture.startReady();
  let broken = 0;
  for (const server of fixture.servers) {
    server.respond = (response, received, socket) => {
      if (broken++ > 0) return writeSealedHead(response, received).end("whole");
      writeSealedHead(response, received, { "content-length": "100" }).write(
        "cut",
      );
      setTimeout(() => socket.destroy(), 20);
    };
  }
  const seen = await fixture.call("/calls/");
  t.match(seen, { status: 200, body: "whole", complete: true });
  await fixture.stop();
});

t.test("what may have run is neither sent again nor called not run", async (t) => {
  // A booking runs and its answer is lost with the connection. Sent again, or
  // answered 503, it would be booked twice.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, _received, socket) => socket.resetAndDestroy();
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.equal(seen.status, 502);
  t.equal(seen.headers["retry-after"], undefined);
  t.equal(
    fixture.servers.flatMap(({ receivedRequests: received }) => received)
      .length,
    1,
  );
  await fixture.stop();
});

t.test("a server that says it did not run the call lets another run it", async (t) => {
  const fixture = await Fixture.startReady();
  let rejected = 0;
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      if (rejected++ > 0) return writeSealedHead(response, received).end("ran");
      response.writeHead(503, { "x-not-run": "1" }).end();
    };
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.match(seen, { status: 200, body: "ran" });
  await fixture.stop();
});

t.test("with no server to run it a call is refused truly, with a time", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response) =>
      response.writeHead(503, { "x-not-run": "1" }).end();
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.equal(seen.status, 503);
  t.ok(Number(seen.headers["retry-after"]) > 0);
  await fixture.stop();
});

t.test("an answer to another request reaches nobody", async (t) => {
  // A server answers late, on a kept connection, where the next answer is due.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response) =>
      response.writeHead(200, { "x-request": "another", "x-seal": "sealed" })
        .end("another caller's");
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.equal(seen.status, 502);
  t.notMatch(seen.body, "another caller's");
  await fixture.stop();
});

t.test("an answer without length that ends by a reset isn't whole", async (t) => {
  // The HTTP client takes such a reset for the end of the answer: callers got
  // the first half of a body as a complete answer.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.write(
        rawResponseHead(received) +
          "\r\nhalf",
      );
      setTimeout(() => socket.resetAndDestroy(), 30);
    };
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.equal(seen.status, 502);
  await fixture.stop();
});

t.test("a chunked answer that ends between two chunks isn't whole", async (t) => {
  // A server crashes while it answers, on a connection that was to close after
  // the answer. The HTTP client calls the answer complete.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.write(
        rawResponseHead(received) +
          "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      );
      setTimeout(() => socket.end(), 30);
    };
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.equal(seen.status, 502);
  await fixture.stop();
});

t.test("a whole chunked answer on a closing connection is passed on", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.end(
        rawResponseHead(received) +
          "Transfer-Encoding: chunked\r\n\r\n" +
          "5\r\nwhole\r\n0\r\n\r\n",
      );
    };
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.match(seen, { status: 200, body: "whole" });
  await fixture.stop();
});

t.test("an answer that ends with its connection is passed on as such", async (t) => {
  // A server crashes while it answers without a length; its connection closes as
  // at the end of a whole answer. With a length of what had come, the caller took
  // a thousand bytes of a longer answer for all of it.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.end(
        rawResponseHead(received) +
          "\r\npart or whole",
      );
    };
  }
  const seen = await fixture.call("/once/", { method: "POST", body: "book" });
  t.match(seen, { status: 200, body: "part or whole" });
  t.equal(seen.headers["content-length"], undefined);
  t.equal(seen.headers["transfer-encoding"], undefined);
  t.equal(seen.headers.connection, "close");
  await fixture.stop();
});

t.test("a caller that leaves frees its server at once", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
    };
  }
  const leave = new AbortController();
  const call = fixture.call("/stream/", {
    method: "POST",
    body: "{}",
    signal: leave.signal,
  }).catch(() => undefined);
  await new Promise((resolve) => setTimeout(resolve, 150));
  leave.abort();
  await call;
  await new Promise((resolve) => setTimeout(resolve, 150));
  const closed = fixture.servers.map((server) => server.closedConnections);
  t.same(closed.sort(), [0, 1]);
  await fixture.stop();
});

t.test("who left before its request was read is not served", async (t) => {
  // An entry has no processor time for two seconds after a restart. Callers give
  // up meanwhile; then it reads their requests, with the ends of their connections
  // right behind, and sent each to a server before it read the end.
  const fixture = await Fixture.startReady();
  // Leaves a connection to each server, on which a request is sent at once.
  await Promise.all([1, 2, 3, 4, 5, 6].map(() => fixture.call("/calls/")));
  const socket = connect(fixture.ports.front, "127.0.0.1");
  await new Promise((resolve) => socket.once("connect", resolve));
  socket.end(
    "GET /calls/late HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n" +
      "X-Credential: key\r\n\r\n",
  );
  await new Promise((resolve) => setTimeout(resolve, 200));
  const targets = fixture.servers.flatMap(({ receivedRequests: received }) =>
    received
  )
    .map(({ target }) => target);
  t.notOk(targets.includes("/calls/late"));
  await fixture.stop();
});

t.test("a server that is down costs its callers nothing but a connect", async (t) => {
  const fixture = await Fixture.startReady();
  fixture.servers[0].stop();
  for (let count = 0; count < 6; count++) {
    const seen = await fixture.call("/once/", { method: "POST", body: "x" });
    t.equal(seen.status, 200);
  }
  t.equal(fixture.servers[1].receivedRequests.length, 6);
  await fixture.stop();
});

t.test("connects that are refused spend no resends", async (t) => {
  // Servers crash in series. A refused connect reached nobody, but each spent one
  // of the resends that a service allows (15 at once here): when they were gone,
  // callers were refused although other servers had room.
  const fixture = await Fixture.startReady();
  const closed = new FakeBackendServer();
  await closed.start();
  const { port } = closed;
  closed.stop();
  for (let round = 0; round < 4; round++) {
    for (let count = 0; count < 5; count++) {
      const id = `down-${round}-${count}`;
      fixture.store.put(`servers/${id}`, storedServer(id, port));
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
    const seen = await fixture.call("/once/", { method: "POST", body: "x" });
    t.equal(seen.status, 200, `round ${round}`);
  }
  await fixture.stop();
});
