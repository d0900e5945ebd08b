import t from "tap";
import { EndlessServer, streamHead } from "./endless_server.ts";
import { rawResponseHead } from "./fake_backend_server.ts";
import type { ReceivedRequest } from "./fake_backend_server.ts";
import { Fixture } from "./fixture.ts";

/** Bytes that a connection may hold between a server and the gateway. */
const CONNECTION_BYTES = 8 * 1024 * 1024;

/** Sends a request to servers that never stop sending. */
async function callEndless(
  head: (received: ReceivedRequest) => string,
  piece: string,
) {
  const fixture = await Fixture.startReady();
  const endless = new EndlessServer();
  for (const server of fixture.servers) {
    server.respond = endless.respondWith(head, piece);
  }
  const response = await fixture.call("/once/", { method: "POST", body: "{}" });
  const interrupted = fixture.events.find(({ message }) =>
    message === "interrupted"
  );
  const metrics = await fetch(
    `http://127.0.0.1:${fixture.ports.readiness}/metrics`,
  ).then((reply) => reply.text());
  await fixture.stop();
  const detail = interrupted?.context["detail"];
  return { status: response.status, detail, bytes: endless.bytesSent, metrics };
}

t.test("an event without end is an error of its server", async (t) => {
  const result = await callEndless(streamHead, "data without an end ");
  t.equal(result.status, 502);
  t.equal(result.detail, "event larger than 1048576 bytes");
  t.ok(result.bytes < CONNECTION_BYTES, `${result.bytes} bytes`);
  t.match(result.metrics, /oversized_responses_total\{service="calls"\} 1/);
});

t.test("a plain body without end is an error of its server", async (t) => {
  const head = (received: ReceivedRequest) =>
    `${rawResponseHead(received)}\r\n`;
  const result = await callEndless(head, "body without an end ");
  t.equal(result.status, 502);
  t.equal(result.detail, "response body larger than 1048576 bytes");
  t.ok(result.bytes < CONNECTION_BYTES, `${result.bytes} bytes`);
});

t.test("a head of lines without end is an error of its server", async (t) => {
  const result = await callEndless(rawResponseHead, "X-More: and more\r\n");
  t.equal(result.status, 502);
  t.equal(result.detail, "more than 256 lines in the head");
  t.ok(result.bytes < CONNECTION_BYTES, `${result.bytes} bytes`);
});

t.test("a head of long lines without end is an error of its server", async (t) => {
  const line = `X-More: ${"and more ".repeat(100)}\r\n`;
  const result = await callEndless(rawResponseHead, line);
  t.equal(result.status, 502);
  t.match(result.detail, /Headers Overflow/);
  t.ok(result.bytes < CONNECTION_BYTES, `${result.bytes} bytes`);
});

t.test("a status line without end is an error of its server", async (t) => {
  const result = await callEndless(() => "HTTP/1.1 200 ", "and more ");
  t.equal(result.status, 502);
  t.equal(result.detail, "a line of more than 65536 bytes");
  t.ok(result.bytes < CONNECTION_BYTES, `${result.bytes} bytes`);
});

t.test("the extension of a chunk without end is an error of its server", async (t) => {
  const head = (received: ReceivedRequest) =>
    `${rawResponseHead(received)}Transfer-Encoding: chunked\r\n\r\n5;`;
  const result = await callEndless(head, "more");
  t.equal(result.status, 502);
  t.equal(result.detail, "a line of more than 65536 bytes");
  t.ok(result.bytes < CONNECTION_BYTES, `${result.bytes} bytes`);
});

t.test("responses of status 1xx without end are ended by the deadline", async (t) => {
  const result = await callEndless(() => "", "HTTP/1.1 102 Processing\r\n\r\n");
  t.equal(result.status, 504);
});
