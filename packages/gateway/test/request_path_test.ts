import { connect } from "node:net";
import t from "tap";
import {
  Fixture,
  route,
  storedConfiguration,
  storedServer,
  waitUntil,
} from "./fixture.ts";
import {
  rawResponseHead,
  startEventStream,
  streamEvent,
  writeSealedHead,
} from "./fake_backend_server.ts";

/** A loopback address at which no test listens, so connections are refused. */
const UNUSED_ADDRESS = "127.0.0.9";

t.test("a request is forwarded unchanged, except for the headers that the gateway sets or drops", async (t) => {
  const fixture = await Fixture.startReady();
  const response = await fixture.call("/calls/x?q=1", {
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
  t.equal(response.status, 200);
  t.equal(response.headers["x-seal"], "sealed");
  const received = fixture.servers.flatMap(({ receivedRequests }) =>
    receivedRequests
  );
  t.equal(received.length, 1);
  const [forwarded] = received;
  t.match(forwarded, { method: "POST", target: "/calls/x?q=1", body: "text" });
  t.match(forwarded?.headers, {
    host: "a.example",
    "x-request": "request-1",
    "x-organisation": "firm",
    "x-expected-server": /^s[01]$/,
    "x-other": "kept",
  });
  for (const name of ["x-hold", "x-credential", "x-dropped"]) {
    t.equal(forwarded?.headers[name], undefined, name);
  }
  t.ok(Number(forwarded?.headers["x-time-left"]) <= 1500);
  await fixture.stop();
});

t.test("a request that the configuration does not allow is refused with the matching status", async (t) => {
  const fixture = await Fixture.startReady();
  t.equal((await fixture.call("/none/")).status, 404);
  const wrong = { "x-credential": "wrong" };
  t.equal((await fixture.call("/calls/", { headers: wrong })).status, 401);
  const long = { method: "POST", body: "x".repeat(2000) };
  t.equal((await fixture.call("/calls/", long)).status, 413);
  const head = { "x-long": "x".repeat(16_400) };
  t.equal((await fixture.call("/calls/", { headers: head })).status, 431);
  t.equal(
    fixture.servers.flatMap(({ receivedRequests }) => receivedRequests)
      .length,
    0,
  );
  await fixture.stop();
});

t.test("an idempotent request is retried at another server after a truncated response", async (t) => {
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
  const response = await fixture.call("/calls/");
  t.match(response, { status: 200, body: "whole", complete: true });
  await fixture.stop();
});

t.test("a request that may have run is neither retried nor reported as not run", async (t) => {
  // A booking runs and its response is lost; a retry or 503 would double it.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, _received, socket) => socket.resetAndDestroy();
  }
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.equal(response.status, 502);
  t.equal(response.headers["retry-after"], undefined);
  t.equal(
    fixture.servers.flatMap(({ receivedRequests }) => receivedRequests)
      .length,
    1,
  );
  await fixture.stop();
});

t.test("a request that a server states it did not run is retried at another server", async (t) => {
  const fixture = await Fixture.startReady();
  let rejected = 0;
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      if (rejected++ > 0) return writeSealedHead(response, received).end("ran");
      response.writeHead(503, { "x-not-run": "1" }).end();
    };
  }
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.match(response, { status: 200, body: "ran" });
  await fixture.stop();
});

for (const status of [408, 429, 503]) {
  // Guards against a second run by a caller that is promised there was none.
  t.test(`a run that must not be repeated promises nothing with ${status}`, async (t) => {
    const fixture = await Fixture.startReady();
    for (const server of fixture.servers) {
      server.respond = (response, received) => {
        const requestId = String(received.headers["x-request"]);
        const headers = { "x-request": requestId, "x-seal": "sealed" };
        response.writeHead(status, headers).end("failed");
      };
    }
    const once = await fixture.call("/once/", { method: "POST", body: "{}" });
    t.equal(once.status, 502);
    t.equal(once.headers["x-seal"], undefined);
    const repeatable = await fixture.call("/calls/");
    t.equal(repeatable.status, status);
    t.equal(repeatable.body, "failed");
    await fixture.stop();
  });
}

t.test("a request that no server runs is refused with 503 and a retry-after header", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response) =>
      response.writeHead(503, { "x-not-run": "1" }).end();
  }
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.equal(response.status, 503);
  t.ok(Number(response.headers["retry-after"]) > 0);
  await fixture.stop();
});

t.test("a response to another request is not passed on", async (t) => {
  // A late response on a reused connection would be taken for the next one.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response) =>
      response.writeHead(200, { "x-request": "another", "x-seal": "sealed" })
        .end("another caller's");
  }
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.equal(response.status, 502);
  t.notMatch(response.body, "another caller's");
  await fixture.stop();
});

t.test("a response without a length that ends with a reset is not complete", async (t) => {
  // The HTTP client takes the reset for the end: half a body looks complete.
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
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.equal(response.status, 502);
  await fixture.stop();
});

t.test("a chunked response that ends between two chunks is not complete", async (t) => {
  // The HTTP client calls it complete if the connection was to close after it.
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
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.equal(response.status, 502);
  await fixture.stop();
});

t.test("a complete chunked response on a closing connection is passed on", async (t) => {
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
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.match(response, { status: 200, body: "whole" });
  await fixture.stop();
});

t.test("a close-delimited response is passed on with its length", async (t) => {
  // Guards against a part that looks whole if this process is killed.
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.end(
        rawResponseHead(received) +
          "\r\npart or whole",
      );
    };
  }
  const response = await fixture.call("/once/", {
    method: "POST",
    body: "book",
  });
  t.match(response, { status: 200, body: "part or whole", complete: true });
  t.equal(response.headers["content-length"], "13");
  t.equal(response.headers["transfer-encoding"], undefined);
  await fixture.stop();
});

t.test("the connection to the server is closed as soon as the caller disconnects", async (t) => {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (response, received) => {
      startEventStream(response, received).write(streamEvent(1));
    };
  }
  const abortController = new AbortController();
  const call = fixture.call("/stream/", {
    method: "POST",
    body: "{}",
    signal: abortController.signal,
  }).catch(() => undefined);
  await new Promise((resolve) => setTimeout(resolve, 150));
  abortController.abort();
  await call;
  await new Promise((resolve) => setTimeout(resolve, 150));
  const closed = fixture.servers.map((server) => server.closedConnections);
  t.same(closed.sort(), [0, 1]);
  await fixture.stop();
});

t.test("a request is not sent to a server if its caller disconnected before it was read", async (t) => {
  // An entry stalled for 2 s reads requests whose callers have disconnected.
  const fixture = await Fixture.startReady();
  // Leaves an idle connection to each server, to send a request at once.
  await Promise.all([1, 2, 3, 4, 5, 6].map(() => fixture.call("/calls/")));
  const socket = connect(fixture.ports.front, "127.0.0.1");
  await new Promise((resolve) => socket.once("connect", resolve));
  socket.end(
    "GET /calls/late HTTP/1.1\r\nHost: a.example\r\nX-Request: r\r\n" +
      "X-Credential: key\r\n\r\n",
  );
  await new Promise((resolve) => setTimeout(resolve, 200));
  const targets = fixture.servers.flatMap(({ receivedRequests }) =>
    receivedRequests
  )
    .map(({ target }) => target);
  t.notOk(targets.includes("/calls/late"));
  await fixture.stop();
});

t.test("requests succeed at another server if one server refuses connections", async (t) => {
  const fixture = await Fixture.startReady();
  fixture.servers[0].stop();
  for (let count = 0; count < 6; count++) {
    const response = await fixture.call("/once/", {
      method: "POST",
      body: "x",
    });
    t.equal(response.status, 200);
  }
  t.equal(fixture.servers[1].receivedRequests.length, 6);
  await fixture.stop();
});

t.test("refused connections do not consume the retry budget", async (t) => {
  // Otherwise a series of crashes uses up the budget (15 retries at once here).
  const fixture = await Fixture.startReady();
  for (let round = 0; round < 4; round++) {
    for (let count = 0; count < 5; count++) {
      const id = `down-${round}-${count}`;
      const record = JSON.parse(storedServer(id, 9));
      const refusing = { ...record, host: UNUSED_ADDRESS };
      fixture.store.put(`servers/${id}`, JSON.stringify(refusing));
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
    const response = await fixture.call("/once/", {
      method: "POST",
      body: "x",
    });
    t.equal(response.status, 200, `round ${round}`);
  }
  await fixture.stop();
});

t.test("a request that meets a fault of the gateway gets an error", async (t) => {
  // Guards against a connection that closes without a response.
  const fixture = await Fixture.startReady();
  const homeRegions = 1 as unknown as string[];
  const faulty = route({ prefix: "/faulty/", homeRegions });
  fixture.store.put("configuration", storedConfiguration(2, [faulty]));
  t.ok(
    await waitUntil(async () => (await fixture.call("/calls/")).status === 404),
  );
  const response = await fixture.call("/faulty/");
  t.equal(response.status, 500);
  t.match(response.body, "internal");
  await fixture.stop();
});
