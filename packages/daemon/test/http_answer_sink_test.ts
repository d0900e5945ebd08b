import { once } from "node:events";
import { createServer, get } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { HttpAnswerSink } from "../src/entry/http_answer_sink.ts";

/** What a caller reads of an answer that is cut after its first bytes. */
async function readCut(contentType: string) {
  const server = createServer(async (_request, response) => {
    const sink = new HttpAnswerSink(response);
    sink.head(200, { "content-type": contentType });
    await sink.write(Buffer.from("data: one\n\n"));
    sink.cut({ reason: "answer_cut", ran: "yes", detail: "it broke off" });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const request = get({ host: "127.0.0.1", port });
  const [answer] = await once(request, "response") as [IncomingMessage];
  let text = "";
  let broken = false;
  try {
    for await (const bytes of answer) text += String(bytes);
  } catch {
    broken = true;
  }
  server.close();
  return { text, broken };
}

t.test("a cut stream says why and still breaks off", async (t) => {
  // A caller reads a stream whose engine died. Its client must see an error
  // and not an end, and the person behind it should learn the reason.
  const { text, broken } = await readCut("text/event-stream");
  t.equal(broken, true);
  t.match(text, /event: error\ndata: .*"reason":"answer_cut"/);
});

t.test("a cut answer of another kind gets no foreign bytes", async (t) => {
  const { text, broken } = await readCut("application/json");
  t.equal(broken, true);
  t.notMatch(text, /answer_cut/);
});
