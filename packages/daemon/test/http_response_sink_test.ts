import { once } from "node:events";
import { createServer, get } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { HttpResponseSink } from "../src/entry/http_response_sink.ts";

/** Reads, as a caller, a response that is aborted after its first bytes. */
async function readAborted(contentType: string) {
  const server = createServer(async (_request, response) => {
    const sink = new HttpResponseSink(response);
    sink.writeHead(200, { "content-type": contentType });
    await sink.write(Buffer.from("data: one\n\n"));
    sink.abort({ reason: "answer_cut", ran: "yes", detail: "it broke off" });
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const request = get({ host: "127.0.0.1", port });
  const [response] = await once(request, "response") as [IncomingMessage];
  let text = "";
  let broken = false;
  try {
    for await (const bytes of response) text += String(bytes);
  } catch {
    broken = true;
  }
  server.close();
  return { text, broken };
}

t.test("an aborted event stream states the reason and breaks off", async (t) => {
  // Guards against a stream cut by an engine crash that seems to end normally.
  const { text, broken } = await readAborted("text/event-stream");
  t.equal(broken, true);
  t.match(text, /event: error\ndata: .*"reason":"answer_cut"/);
});

t.test("an aborted response of another type gets no extra bytes", async (t) => {
  const { text, broken } = await readAborted("application/json");
  t.equal(broken, true);
  t.notMatch(text, /answer_cut/);
});
