// Engines answer streams; of some answers, which have no length, the channel
// is reset midway. The requesters must not take these for complete.
import { createServer } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  CannotRun,
  configuration,
  Gateway,
  parseAnswer,
  RawClient,
  runCase,
  serverEntry,
  sleep,
  Store,
  TROUBLE,
  until,
} from "../stand-ins-2/harness.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const GATEWAY_HOST = "127.0.0.24";
const ENGINE_HOST = "127.0.0.25";
const STORE_HOST = "127.0.0.26";
const REQUESTS = 200;
/** Every so many answers, one has no length: 10 of 200. */
const UNFRAMED_EVERY = 20;
const EVENTS = 8;
/** Requesters at a time. */
const REQUESTERS = 8;
/** Events of an answer that breaks off. */
const EVENTS_BEFORE_RESET = 3;

const event = (id, number) => `id: ${number}\ndata: ${id} ${number}/${EVENTS}\n\n`;

/** What the engine did with each attempt. */
const runs = new Map();

async function answer(socket, id, record) {
  const number = runs.size;
  const isUnframed = number % UNFRAMED_EVERY === UNFRAMED_EVERY - 1;
  const breaksOff = isUnframed && TROUBLE;
  runs.set(id, breaksOff ? "reset" : "whole");
  record.add(
    `engine runs ${id}: ${isUnframed ? "no length" : "chunked"}, ` +
      (breaksOff ? `reset after event ${EVENTS_BEFORE_RESET}` : "whole"),
  );
  socket.write(
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
      `Sycamorepulley-Attempt-Id: ${id}\r\n` +
      "Sycamorepulley-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
      (isUnframed
        ? "Connection: close\r\n\r\n"
        : "Transfer-Encoding: chunked\r\n\r\n"),
  );
  const last = breaksOff ? EVENTS_BEFORE_RESET : EVENTS;
  for (let count = 1; count <= last; count++) {
    await sleep(10);
    const text = event(id, count);
    socket.write(
      isUnframed ? text : `${text.length.toString(16)}\r\n${text}\r\n`,
    );
  }
  if (breaksOff) socket.resetAndDestroy();
  else if (isUnframed) socket.end();
  else socket.write("0\r\n\r\n");
}

function startEngine(record) {
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    socket.on("error", () => {});
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      const end = received.indexOf("\r\n\r\n");
      if (end < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
      if (received.length < end + 4 + length) return;
      const id = /attempt-id: (\S+)/i.exec(received)?.[1];
      received = "";
      void answer(socket, id, record);
    });
  });
  return new Promise((resolve) =>
    server.listen(0, ENGINE_HOST, () => resolve(server))
  );
}

/** Events of an answer, and whether a client takes it for complete. */
function judge(received, ended) {
  const { status, headers, body } = parseAnswer(received);
  const text = body.toString("latin1");
  const isChunked = headers["transfer-encoding"] === "chunked";
  const length = headers["content-length"];
  const isComplete = isChunked
    ? text.endsWith("\r\n0\r\n\r\n")
    : length === undefined
    ? ended === "closed"
    : body.length >= Number(length);
  return { status, isComplete, events: text.match(/^id: /gm)?.length ?? 0 };
}

await runCase(HERE, async ({ record, cleanups }) => {
  const store = new Store();
  await store.start(STORE_HOST);
  cleanups.push(() => store.stop());
  const engine = await startEngine(record);
  cleanups.push(() => engine.close());
  store.put("op/config", configuration(3, {
    routes: [{
      name: "touchup-note",
      host: "ficu95.example",
      prefix: "/pufi791/",
      routeKind: "streaming",
      service: "quote-drafter",
      timeoutMs: 12_000,
      targetLatencyMs: 400,
      targetGapMs: 300,
      priority: 1,
      maxAttempts: 1,
      resumeStreams: false,
      public: true,
    }],
    services: [{
      name: "quote-drafter",
      maxConnections: 360,
      engine: { strideSize: 6, kvCapacityTokens: 549505 },
    }],
  }));
  store.put("servers/i-7f3a91c2", serverEntry({
    service: "quote-drafter",
    address: `${ENGINE_HOST}:${engine.address().port}`,
    zone: "joondalup",
    slots: 11,
    born: Date.now() - 60_000,
  }));
  const gateway = await Gateway.create({
    name: "edge-joondalup-1",
    host: GATEWAY_HOST,
    zone: "joondalup",
    zones: ["joondalup"],
    store: store.address,
  });
  cleanups.push(() => gateway.remove());
  await gateway.start();
  record.add("gateway is ready");

  const broken = [];
  let served = 0;
  const play = async (number) => {
    const id = `9c41d07be2a3${String(number).padStart(4, "0")}`;
    const client = new RawClient({ host: GATEWAY_HOST, port: gateway.front });
    const body = "x".repeat(800);
    client.send(
      "POST /pufi791/note HTTP/1.1\r\nHost: ficu95.example\r\n" +
        `Sycamorepulley-Attempt-Id: ${id}\r\nSycamorepulley-Model: m\r\n` +
        "Sycamorepulley-Token-Usage: 600,90\r\n" +
        "Sycamorepulley-Prompt-Prefix: 5c1e07a2:60,91bd3f06:540\r\n" +
        "Sycamorepulley-Request-Deadline: 12000\r\n" +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    await until(
      () => client.ended !== "open" || judge(client.received, "").isComplete,
      12_000,
    );
    const { status, isComplete, events } = judge(client.received, client.ended);
    client.close();
    record.add(
      `requester of ${id}: ${status}, ${events} events, ` +
        (isComplete ? "complete" : `not complete (${client.ended})`),
    );
    if (status !== 200) return;
    if (isComplete && events === EVENTS) served++;
    if (isComplete && events < EVENTS) broken.push(id);
  };
  let next = 0;
  await Promise.all(Array.from({ length: REQUESTERS }, async () => {
    while (next < REQUESTS) await play(next++);
  }));
  if (served < REQUESTS / 2) throw new CannotRun(`${served} streams are whole`);
  if (broken.length === 0) return undefined;
  const cut = [...runs.values()].filter((end) => end === "reset").length;
  return `MIXED, ORDER: ${broken.length} of ${cut} streams that the engine ` +
    `reset after event ${EVENTS_BEFORE_RESET} of ${EVENTS} look complete`;
});
