// An engine crashes in the middle of its streams and is back two seconds
// later, while the gateway that passes them on stands still.
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
} from "../stand-ins-2/harness.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const ZONES = ["joondalup", "rockingham", "freo-docks", "guildford"];
const FIRST_GATEWAY = 51;
const ENGINE_HOSTS = ["127.0.0.55", "127.0.0.56", "127.0.0.57", "127.0.0.58"];
const STORE_HOST = "127.0.0.59";
const STREAMS = 20;
const EVENTS = 60;
const EVENT_MS = 100;
const FREEZE_MS = 3500;
const DOWN_MS = 2000;

const event = (id, number) => `id: ${number}\ndata: ${id} ${number}/${EVENTS}\n\n`;

/** One answer in twenty has no length; it is that of the engine that crashes. */
let unframed;

class Engine {
  running = [];
  #sockets = new Set();
  #server;
  #port = 0;
  #generation = 0;
  #isDown = false;

  constructor(number, { host, store, record }) {
    Object.assign(this, { number, host, store, record });
  }

  async start() {
    this.#isDown = false;
    this.id = `i-${this.number}-${++this.#generation}`;
    this.#server = createServer((socket) => this.#serve(socket));
    await new Promise((resolve) =>
      this.#server.listen(this.#port, this.host, resolve)
    );
    this.#port = this.#server.address().port;
    this.entry = `servers/${this.id}`;
    this.store.put(this.entry, serverEntry({
      service: "quote-drafter",
      address: `${this.host}:${this.#port}`,
      zone: ZONES[this.number],
      slots: 11,
      born: Date.now(),
    }));
  }

  /** As the end of a process: its sockets are closed by the system. */
  crash() {
    this.#isDown = true;
    const { entry } = this;
    this.record.add(`engine ${this.id} crashes; it runs ${this.running.join(" ")}`);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
    setTimeout(() => this.store.remove(entry), 3600);
  }

  stop() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      const end = received.indexOf("\r\n\r\n");
      if (end < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
      if (received.length < end + 4 + length) return;
      const id = /attempt-id: (\S+)/i.exec(received)?.[1];
      received = "";
      void this.#answer(socket, id);
    });
  }

  async #answer(socket, id) {
    this.running.push(id);
    if (this.number === 0) unframed ??= id;
    const isUnframed = unframed === id;
    this.record.add(
      `engine ${this.id} runs ${id}: ${isUnframed ? "no length" : "chunked"}`,
    );
    socket.write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
        `Sycamorepulley-Attempt-Id: ${id}\r\n` +
        "Sycamorepulley-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
        (isUnframed
          ? "Connection: close\r\n\r\n"
          : "Transfer-Encoding: chunked\r\n\r\n"),
    );
    for (let count = 1; count <= EVENTS; count++) {
      await sleep(EVENT_MS);
      if (socket.destroyed || this.#isDown) return;
      const text = event(id, count);
      socket.write(
        isUnframed ? text : `${text.length.toString(16)}\r\n${text}\r\n`,
      );
    }
    if (isUnframed) socket.end();
    else socket.write("0\r\n\r\n");
  }
}

function judge({ received, ended }) {
  const { status, headers, body } = parseAnswer(received);
  const text = body.toString("latin1");
  const length = headers["content-length"];
  const isComplete = headers["transfer-encoding"] === "chunked"
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
  const engines = [];
  for (const [number, host] of ENGINE_HOSTS.entries()) {
    const engine = new Engine(number, { host, store, record });
    await engine.start();
    cleanups.push(() => engine.stop());
    engines.push(engine);
  }
  store.put("op/config", configuration(3, {
    routes: [{
      name: "touchup-note",
      host: "ficu95.example",
      prefix: "/pufi791/",
      routeKind: "streaming",
      service: "quote-drafter",
      timeoutMs: 15_000,
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
  const gateways = [];
  for (const [index, zone] of ZONES.entries()) {
    const gateway = await Gateway.create({
      name: `edge-${zone}-1`,
      host: `127.0.0.${FIRST_GATEWAY + index}`,
      zone,
      zones: ZONES,
      store: store.address,
    });
    cleanups.push(() => gateway.remove());
    gateways.push(gateway);
  }
  await Promise.all(gateways.map((gateway) => gateway.start()));
  record.add("four gateways are ready");
  await sleep(1000);

  const [gateway] = gateways;
  const clients = new Map();
  for (let number = 0; number < STREAMS; number++) {
    const id = `9c41d07be2a3${String(number).padStart(4, "0")}`;
    const client = new RawClient({ host: gateway.host, port: gateway.front });
    const body = "x".repeat(800);
    client.send(
      "POST /pufi791/note HTTP/1.1\r\nHost: ficu95.example\r\n" +
        `Sycamorepulley-Attempt-Id: ${id}\r\nSycamorepulley-Model: m\r\n` +
        "Sycamorepulley-Token-Usage: 600,400\r\n" +
        `Sycamorepulley-Prompt-Prefix: 5c1e07a2:60,${id}:540\r\n` +
        "Sycamorepulley-Request-Deadline: 15000\r\n" +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
    clients.set(id, client);
    await sleep(30);
  }
  await sleep(1000);
  if (unframed === undefined) throw new CannotRun("engine 0 runs nothing");
  if (TROUBLE) {
    record.add(`${gateway.name} stands still (SIGSTOP)`);
    gateway.signal("SIGSTOP");
    await sleep(200);
    engines[0].crash();
    await sleep(DOWN_MS);
    await engines[0].start();
    record.add(`engine ${engines[0].id} starts at the same address`);
    await sleep(FREEZE_MS - DOWN_MS - 200);
    gateway.signal("SIGCONT");
    record.add(`${gateway.name} goes on (SIGCONT)`);
  }
  await sleep(EVENTS * EVENT_MS + 1500);
  const broken = [];
  let whole = 0;
  for (const [id, client] of clients) {
    const { status, isComplete, events } = judge(client);
    client.close();
    record.add(
      `requester of ${id}: ${status}, ${events} events, ` +
        (isComplete ? "complete" : `not complete (${client.ended})`),
    );
    if (status !== 200) continue;
    if (isComplete && events === EVENTS) whole++;
    if (isComplete && events < EVENTS) broken.push(`${id} (${events} events)`);
  }
  if (whole < 5) throw new CannotRun(`${whole} streams are whole`);
  if (broken.length === 0) return undefined;
  return `MIXED, ORDER: ${broken.join(", ")} looks complete, ` +
    `its engine crashed before event ${EVENTS}`;
});
