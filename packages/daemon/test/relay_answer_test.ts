import t from "tap";
import { AnswerSink } from "../src/entry/answer_sink.ts";
import { Mailbox } from "../src/entry/mailbox.ts";
import { AnswerRelay } from "../src/entry/relay_answer.ts";
import type { RequestEvent } from "../src/entry/request_event.ts";

class RecordingSink extends AnswerSink {
  status = 0;
  body = "";

  override head(status: number): void {
    this.status = status;
  }

  override write(bytes: Uint8Array): Promise<void> {
    this.body += Buffer.from(bytes).toString();
    return Promise.resolve();
  }

  override end(): void {}
  override refuse(): void {}
  override cut(): void {}
}

const sidecar = "one";
const head: RequestEvent = { kind: "head", sidecar, status: 200, headers: {} };

function chunk(sequence: number, text: string): RequestEvent {
  return { kind: "chunk", sidecar, sequence, bytes: Buffer.from(text) };
}

function relay(events: RequestEvent[]) {
  const mailbox = new Mailbox<RequestEvent>();
  for (const event of events) mailbox.put(event);
  const sink = new RecordingSink();
  const relay = new AnswerRelay({
    mailbox,
    sidecar,
    sink,
    onFirstByte: () => {},
  });
  const outcome = relay.run(Number.MAX_SAFE_INTEGER);
  return { outcome, sink };
}

t.test("a whole answer", async (t) => {
  const end: RequestEvent = { kind: "end", sidecar, chunks: 2, length: 4 };
  const { outcome, sink } = relay([head, chunk(0, "ab"), chunk(1, "cd"), end]);
  t.same(await outcome, { kind: "whole", status: 200, bytes: 4 });
  t.equal(sink.body, "abcd");
});

t.test("a missing chunk is never whole", async (t) => {
  // A caller gets an answer with a hole: a chunk was lost on the way, and the
  // end arrives all the same. Numbers and lengths must give it away.
  const { outcome } = relay([head, chunk(0, "ab"), chunk(2, "cd")]);
  t.match(await outcome, {
    kind: "failed",
    refusal: { reason: "malformed_answer" },
    begun: true,
  });
});

t.test("an end that announces more is never whole", async (t) => {
  const end: RequestEvent = { kind: "end", sidecar, chunks: 2, length: 4 };
  const { outcome } = relay([head, chunk(0, "ab"), end]);
  t.match(await outcome, { refusal: { reason: "malformed_answer" } });
});

t.test("another sidecar's events are not this answer's", async (t) => {
  // Late grants and lost links of sidecars that were only asked for a place
  // must not end the answer of the one that runs the request.
  const end: RequestEvent = { kind: "end", sidecar, chunks: 1, length: 2 };
  const { outcome, sink } = relay([
    { kind: "linkLost", sidecar: "two" },
    head,
    { kind: "chunk", sidecar: "two", sequence: 0, bytes: Buffer.from("x") },
    chunk(0, "ab"),
    end,
  ]);
  t.match(await outcome, { kind: "whole" });
  t.equal(sink.body, "ab");
});

t.test("a link lost after the hand-over leaves it unknown", async (t) => {
  const { outcome } = relay([{ kind: "linkLost", sidecar }]);
  t.match(await outcome, {
    refusal: { reason: "link_lost", ran: "unknown" },
    begun: false,
  });
});
