import t from "tap";
import { ResponseSink } from "../src/entry/response_sink.ts";
import { Mailbox } from "../src/entry/mailbox.ts";
import { ResponseRelay } from "../src/entry/response_relay.ts";
import type { RequestEvent } from "../src/entry/request_event.ts";

class FakeResponseSink extends ResponseSink {
  status = 0;
  body = "";

  override writeHead(status: number): void {
    this.status = status;
  }

  override write(bytes: Uint8Array): Promise<void> {
    this.body += Buffer.from(bytes).toString();
    return Promise.resolve();
  }

  override end(): void {}
  override refuse(): void {}
  override abort(): void {}
}

const sidecar = "one";
const head: RequestEvent = { kind: "head", sidecar, status: 200, headers: {} };

function chunk(sequence: number, text: string): RequestEvent {
  return { kind: "chunk", sidecar, sequence, bytes: Buffer.from(text) };
}

function relayEvents(events: RequestEvent[]) {
  const mailbox = new Mailbox<RequestEvent>();
  for (const event of events) mailbox.put(event);
  const sink = new FakeResponseSink();
  const relay = new ResponseRelay({
    mailbox,
    sidecar,
    sink,
    onFirstByte: () => {},
  });
  const outcome = relay.run(Number.MAX_SAFE_INTEGER);
  return { outcome, sink };
}

t.test("a response with all of its chunks is complete", async (t) => {
  const end: RequestEvent = { kind: "end", sidecar, chunks: 2, length: 4 };
  const { outcome, sink } = relayEvents([
    head,
    chunk(0, "ab"),
    chunk(1, "cd"),
    end,
  ]);
  t.same(await outcome, { kind: "complete", status: 200, bytes: 4 });
  t.equal(sink.body, "abcd");
});

t.test("a response that lacks a chunk is never complete", async (t) => {
  // Guards against taking a response for complete although a chunk was lost.
  const { outcome } = relayEvents([head, chunk(0, "ab"), chunk(2, "cd")]);
  t.match(await outcome, {
    kind: "failed",
    refusal: { reason: "malformed_answer" },
    responseStarted: true,
  });
});

t.test("a response shorter than its end states is never complete", async (t) => {
  const end: RequestEvent = { kind: "end", sidecar, chunks: 2, length: 4 };
  const { outcome } = relayEvents([head, chunk(0, "ab"), end]);
  t.match(await outcome, { refusal: { reason: "malformed_answer" } });
});

t.test("events of another sidecar do not affect the response", async (t) => {
  // Guards against a response that is ended by another sidecar's late event.
  const end: RequestEvent = { kind: "end", sidecar, chunks: 1, length: 2 };
  const { outcome, sink } = relayEvents([
    { kind: "linkLost", sidecar: "two" },
    head,
    { kind: "chunk", sidecar: "two", sequence: 0, bytes: Buffer.from("x") },
    chunk(0, "ab"),
    end,
  ]);
  t.match(await outcome, { kind: "complete" });
  t.equal(sink.body, "ab");
});

t.test("after a link loss it is unknown whether the request ran", async (t) => {
  const { outcome } = relayEvents([{ kind: "linkLost", sidecar }]);
  t.match(await outcome, {
    refusal: { reason: "link_lost", ran: "unknown" },
    responseStarted: false,
  });
});
