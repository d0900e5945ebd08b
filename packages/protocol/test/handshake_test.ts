import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import t from "tap";
import { acceptLink, openLink, PROTOCOL_VERSION } from "../src/mod.ts";
import type { HelloMessage } from "../src/mod.ts";

const hello: HelloMessage = {
  type: "hello",
  protocolVersion: PROTOCOL_VERSION,
  role: "entry",
  instance: "entry-1",
  dataCentre: "one",
  incarnation: "a",
  configurationRevision: 0,
};

async function listen(onSocket: (socket: Socket) => void) {
  const server = createServer(onSocket).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { server, host: "127.0.0.1", port };
}

t.test("opens a link and returns the peer's hello", async (t) => {
  const accepted: Promise<unknown>[] = [];
  const { server, host, port } = await listen((socket) => {
    accepted.push(
      acceptLink({
        socket,
        hello: { ...hello, role: "sidecar" },
        timeout: 5000,
      }),
    );
  });
  const opened = await openLink({ host, port, hello, timeout: 5000 });
  t.ok(opened.isOk);
  if (opened.isOk) {
    t.equal(opened.value.peerHello.role, "sidecar");
    opened.value.link.close();
  }
  await Promise.all(accepted);
  server.close();
});

t.test("rejects a peer with another protocol version", async (t) => {
  const { server, host, port } = await listen((socket) => {
    void acceptLink({
      socket,
      hello: { ...hello, protocolVersion: PROTOCOL_VERSION + 1 },
      timeout: 5000,
    });
  });
  const opened = await openLink({ host, port, hello, timeout: 5000 });
  t.ok(opened.isErr && opened.error.reason === "protocol_version");
  server.close();
});

t.test("fails at the step connect if nothing listens", async (t) => {
  const { server, host, port } = await listen(() => {});
  server.close();
  await once(server, "close");
  const opened = await openLink({ host, port, hello, timeout: 5000 });
  t.ok(opened.isErr && opened.error.step === "connect");
});

t.test("rejects a connection that does not begin with a frame", async (t) => {
  let outcome: Promise<unknown> | undefined;
  const { server, host, port } = await listen((socket) => {
    outcome = acceptLink({ socket, hello, timeout: 5000 });
  });
  const socket = connect({ host, port });
  socket.write(Buffer.from("GET / HTTP/1.1\r\n\r\n"));
  await once(socket.resume(), "close");
  t.match(await outcome, { error: { reason: "frame_too_large" } });
  server.close();
});
