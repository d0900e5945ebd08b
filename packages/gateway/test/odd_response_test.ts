import t from "tap";
import type { ReceivedRequest } from "./fake_backend_server.ts";
import { Fixture } from "./fixture.ts";
import type { CallerResponse } from "./fixture.ts";

/** Fields that a response of this server to this request has. */
function ownFields(received: ReceivedRequest): string {
  return `X-Request: ${received.headers["x-request"]}\r\nX-Seal: sealed\r\n`;
}

/** Calls a server that sends `start`, its own fields and then `rest`. */
async function callWith(start: string, rest: string): Promise<CallerResponse> {
  const fixture = await Fixture.startReady();
  for (const server of fixture.servers) {
    server.respond = (_response, received, socket) => {
      socket.write(`${start}\r\n${ownFields(received)}${rest}`, "latin1");
      setTimeout(() => socket.end(), 30);
    };
  }
  const response = await fixture.call("/once/", { method: "POST", body: "{}" });
  await fixture.stop();
  return response;
}

const BODY = "Content-Length: 5\r\n\r\nsent!";

const BROKEN: Record<string, [start: string, rest: string]> = {
  "status 000": ["HTTP/1.1 000 OK", BODY],
  "status 099": ["HTTP/1.1 099 OK", BODY],
  "status 600": ["HTTP/1.1 600 OK", BODY],
  "status 999": ["HTTP/1.1 999 OK", BODY],
  "a status of four digits": ["HTTP/1.1 2000 OK", BODY],
  "another protocol version": ["HTTP/2.0 200 OK", BODY],
  "a version before 1.0": ["HTTP/0.9 200 OK", BODY],
  "a blank in a field name": ["HTTP/1.1 200 OK", `X Odd: a\r\n${BODY}`],
  "a blank before the colon": ["HTTP/1.1 200 OK", `X-Odd : a\r\n${BODY}`],
  "a control byte in a name": ["HTTP/1.1 200 OK", `X\x01: a\r\n${BODY}`],
  "a control byte in a value": ["HTTP/1.1 200 OK", `X-A: a\x01\r\n${BODY}`],
  "two lengths": ["HTTP/1.1 200 OK", `Content-Length: 6\r\n${BODY}`],
  "an unknown transfer coding": [
    "HTTP/1.1 200 OK",
    "Transfer-Encoding: other\r\n\r\nsent!",
  ],
  "a transfer coding behind the chunks": [
    "HTTP/1.1 200 OK",
    "Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nsent!\r\n0\r\n\r\n",
  ],
  "a transfer coding below the chunks": [
    "HTTP/1.1 200 OK",
    "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nsent!\r\n0\r\n\r\n",
  ],
};

for (const [name, [start, rest]] of Object.entries(BROKEN)) {
  // Guards against bytes of a faulty server that pass as a response.
  t.test(`a response with ${name} does not reach the caller`, async (t) => {
    const { status, body } = await callWith(start, rest);
    t.equal(status, 502);
    t.notMatch(body, "sent!");
  });
}

t.test("a status that is unusual but valid reaches the caller", async (t) => {
  const { status, body } = await callWith("HTTP/1.1 599 Odd", BODY);
  t.same([status, body], [599, "sent!"]);
});

t.test("a response that states the chunked coding in capitals is passed on", async (t) => {
  const { status, body } = await callWith(
    "HTTP/1.1 200 OK",
    "Transfer-Encoding: Chunked\r\n\r\n5\r\nsent!\r\n0\r\n\r\n",
  );
  t.same([status, body], [200, "sent!"]);
});

t.test("a response that is not modified may state the length of the whole", async (t) => {
  // Guards against 502 for a response that is whole with its head.
  const { status, body } = await callWith(
    "HTTP/1.1 304 Not Modified",
    'ETag: "a"\r\nContent-Length: 50\r\n\r\n',
  );
  t.same([status, body], [304, ""]);
});
