/**
 * Stand-in for an engine. Runs `slots` requests at once and queues as many
 * again; answers plain requests after `workTime` milliseconds, and streams
 * `events` events, one each `eventTime`. `framing: "close"` sends answers
 * without a length. Its parent gets a line for each run, and its entry.
 */
import { createServer } from "node:http";
import { createHash } from "node:crypto";

const settings = JSON.parse(process.argv[2]);
const { id, slots, workTime, eventTime, framing } = settings;
let running = 0;
const queue = [];

const report = (message) => process.send?.({ id, ...message });

const server = createServer((request, response) => {
  const chunks = [];
  request.on("data", (chunk) => chunks.push(chunk));
  request.on("end", () => accept(request, response, Buffer.concat(chunks)));
});
server.keepAliveTimeout = 5000;

function accept(request, response, body) {
  const attempt = request.headers["sycamorepulley-attempt-id"];
  const reject = (status) => {
    response.writeHead(status, {
      "sycamorepulley-not-executed": "1",
      "sycamorepulley-instance-id": id,
      ...(attempt && { "sycamorepulley-attempt-id": attempt }),
      "content-length": 0,
    });
    response.end();
    report({ event: "rejected", attempt, status });
  };
  if (attempt === undefined) return reject(400);
  const expected = request.headers["sycamorepulley-expect-instance"];
  if (expected !== undefined && expected !== id) return reject(421);
  if (running + queue.length >= 2 * slots) return reject(503);
  const start = () => {
    running++;
    run(request, response, attempt, body).finally(() => {
      running--;
      queue.shift()?.();
    });
  };
  if (running < slots) start();
  else queue.push(start);
}

const sleep = (time) => new Promise((resolve) => setTimeout(resolve, time));

async function run(request, response, attempt, body) {
  report({
    event: "runs",
    attempt,
    path: request.url,
    method: request.method,
    bytes: body.length,
    lastEventId: request.headers["last-event-id"],
    deadline: request.headers["sycamorepulley-request-deadline"],
    tenant: request.headers["sycamorepulley-tenant"],
  });
  let left = false;
  response.once("close", () => left = !response.writableFinished);
  const seal = createHash("sha1").update(attempt + id).digest("hex").slice(0, 16);
  const headers = {
    "sycamorepulley-attempt-id": attempt,
    "sycamorepulley-response-seal": seal,
    "sycamorepulley-instance-id": id,
    "sycamorepulley-server-load": `${running},${queue.length},${slots}`,
  };
  if (framing === "close") {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    headers.connection = "close";
  } else headers["keep-alive"] = "timeout=5";
  const usage = request.headers["sycamorepulley-token-usage"];
  if (Math.random() < (settings.failingShare ?? 0)) {
    await sleep(workTime);
    response.writeHead(500, { ...headers, "content-length": 0 });
    response.end();
    report({ event: "failed", attempt });
    return;
  }
  if (usage === undefined) {
    await sleep(workTime);
    if (left) return report({ event: "left", attempt });
    const text = answerOf(attempt, settings.answerBytes ?? 800);
    if (framing !== "close") headers["content-length"] = text.length;
    response.writeHead(200, headers);
    if (settings.bodyTime !== undefined) {
      const half = text.length >> 1;
      response.write(text.slice(0, half));
      await sleep(settings.bodyTime);
      response.end(text.slice(half));
    } else response.end(text);
  } else {
    const from = Number(request.headers["last-event-id"] ?? 0);
    const count = Number(usage.split(",")[1]) / settings.tokensPerEvent;
    await sleep(workTime);
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    for (let event = from + 1; event <= count && !left; event++) {
      response.write(`id: ${event}\ndata: ${attempt} ${event}/${count}\n\n`);
      await sleep(eventTime);
    }
    if (left) return report({ event: "left", attempt });
    response.end();
  }
  report({ event: "ended", attempt });
}

function answerOf(attempt, bytes) {
  return `${attempt}:`.padEnd(bytes - 1, "x") + ".";
}

server.listen(settings.port ?? 0, "127.0.0.1", () => {
  report({ event: "listening", port: server.address().port, born: Date.now() });
});
process.on("SIGTERM", () => process.exit(0));
process.on("disconnect", () => process.exit(0));
