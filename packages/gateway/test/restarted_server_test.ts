import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { rawResponseHead, streamEvent } from "./fake_backend_server.ts";
import type { FakeBackendServer, Respond } from "./fake_backend_server.ts";
import { Fixture } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

const STREAM_HEAD = "Content-Type: text/event-stream\r\n\r\n";
/** Milliseconds until a server restarts or ends its response. */
const DELAY = 150;

/** Starts a fixture whose servers respond alike. */
async function startWith(
  respondOf: (server: FakeBackendServer) => Respond,
): Promise<Fixture> {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) server.respond = respondOf(server);
  return fixture;
}

function post(fixture: Fixture, path: string): Promise<CallerResponse> {
  return fixture.call(path, { method: "POST", body: "{}" });
}

/** Sends part of a response; then a new process is at the server's address. */
function restartIn(part: string): (server: FakeBackendServer) => Respond {
  return (server) => async (_response, received, socket) => {
    socket.write(rawResponseHead(received) + part);
    await sleep(DELAY);
    server.startAnew();
  };
}

t.test("a stream cut by a restart of its server does not look complete", async (t) => {
  // Guards against taking the new process for the one that sent the stream.
  const fixture = await startWith(restartIn(STREAM_HEAD + streamEvent(1)));
  const response = await post(fixture, "/stream/");
  t.equal(response.body, streamEvent(1));
  t.notOk(response.complete);
  await fixture.stop();
});

t.test("a plain response cut by a restart of its server is not passed on", async (t) => {
  const fixture = await startWith(restartIn("\r\npart"));
  t.equal((await post(fixture, "/once/")).status, 502);
  await fixture.stop();
});

t.test("an idle connection shows a restart of a server right after the head", async (t) => {
  const fixture = await startWith(() => (response) => response.end());
  for (const server of fixture.servers) {
    let count = 0;
    const restart = restartIn("\r\npart")(server);
    server.respond = (response, received, socket) => {
      if (count++ === 0) {
        response.writeHead(200, {
          "x-request": String(received.headers["x-request"]),
          "x-seal": "sealed",
          "keep-alive": "timeout=10",
        }).end("ok");
      } else restart(response, received, socket);
    };
  }
  const first = await Promise.all(
    fixture.servers.map(() => post(fixture, "/once/")),
  );
  t.same(first.map(({ status }) => status), [200, 200]);
  t.equal((await post(fixture, "/once/")).status, 502);
  await fixture.stop();
});

t.test("a response that its server ends itself is whole", async (t) => {
  // Guards against cutting it for lack of another connection.
  const fixture = await startWith(() => async (_response, received, socket) => {
    const isStream = received.target === "/stream/";
    const body = isStream ? STREAM_HEAD + streamEvent(1) : "\r\nwhole";
    socket.write(rawResponseHead(received) + body);
    await sleep(DELAY);
    socket.end();
  });
  const responses = await Promise.all(
    ["/stream/", "/once/", "/stream/"].map((path) => post(fixture, path)),
  );
  t.ok(responses.every(({ complete }) => complete));
  t.same(responses.map(({ status }) => status), [200, 200, 200]);
  const single = await post(fixture, "/stream/");
  t.ok(single.complete);
  await fixture.stop();
});

t.test("a response that comes with its end is whole", async (t) => {
  const fixture = await startWith(() => (_response, received, socket) => {
    socket.end(rawResponseHead(received) + "\r\nwhole");
  });
  for (let count = 0; count < 10; count++) {
    const response = await post(fixture, "/once/");
    t.equal(response.status, 200);
    t.ok(response.complete);
  }
  await fixture.stop();
});

t.test("a server that closes its idle connections ends a response itself", async (t) => {
  // Guards against taking the end of idle connections for that of the process.
  const fixture = await startWith(
    (server) => async (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
      for (let count = 0; count < 3; count++) {
        await sleep(DELAY);
        server.closeOtherConnections(socket);
      }
      await sleep(DELAY);
      socket.end(streamEvent(2));
    },
  );
  const response = await post(fixture, "/stream/");
  t.equal(response.body, streamEvent(1) + streamEvent(2));
  t.ok(response.complete);
  await fixture.stop();
});

t.test("a server with too many connections ends a response itself", async (t) => {
  // Guards against taking a refused connection for the end of the process.
  const fixture = await startWith(
    (server) => async (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
      const timer = setInterval(() => server.closeOtherConnections(socket), 1);
      await sleep(Number(received.headers["x-delay"]));
      socket.end(streamEvent(2));
      clearInterval(timer);
    },
  );
  for (let delay = 0; delay < 400; delay += 20) {
    const response = await fixture.call("/stream/", {
      method: "POST",
      body: "{}",
      headers: { "x-delay": String(delay) },
    });
    t.ok(response.complete, `after ${delay} ms`);
  }
  await fixture.stop();
});

t.test("responses that end at the same time are whole", async (t) => {
  // Guards against taking the end of one response for that of the process.
  const fixture = await Fixture.startReady();
  let pending: (() => void)[] = [];
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
      pending.push(() => socket.end());
      if (pending.length < 6) return;
      setTimeout(() => {
        for (const end of pending) end();
        pending = [];
      }, DELAY);
    };
  }
  for (let round = 0; round < 3; round++) {
    const responses = await Promise.all(
      Array.from({ length: 6 }, () => post(fixture, "/stream/")),
    );
    t.equal(responses.filter(({ complete }) => complete).length, 6);
  }
  await fixture.stop();
});

t.test("no connection to a server is kept for the sake of a response", async (t) => {
  const fixture = await startWith(() => async (_response, received, socket) => {
    socket.write(rawResponseHead(received) + STREAM_HEAD + streamEvent(1));
    await sleep(DELAY);
    socket.end();
  });
  await Promise.all(
    Array.from({ length: 8 }, () => post(fixture, "/stream/")),
  );
  await sleep(DELAY);
  const open = fixture.servers.map(({ openConnections }) => openConnections);
  t.same(open, [0, 0]);
  await fixture.stop();
});
