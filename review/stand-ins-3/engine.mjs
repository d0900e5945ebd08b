/** Stand-in for an engine: answers every request, in slots. */
import { createServer } from "node:http";

export class Engine {
  /** Requests that began to run: id, tenant, tokens and time of arrival. */
  runs = [];

  /** `answer(request, body, response, run)` answers a request that runs. */
  constructor({ id, service, zone, slots = 12, answer }) {
    Object.assign(this, { id, service, zone, slots, answer });
  }

  async start() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => {
        this.handle(request, Buffer.concat(chunks), response);
      });
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve) =>
      this.server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.born = Date.now();
  }

  get entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: "ready",
      coldRemainingMs: 0,
      born: this.born,
      sequence: 1,
    };
  }

  handle(request, body, response) {
    const { headers } = request;
    const id = headers["sycamorepulley-attempt-id"];
    response.setHeader("Sycamorepulley-Attempt-Id", id ?? "");
    const expected = headers["sycamorepulley-expect-instance"];
    if (id === undefined || (expected && expected !== this.id)) {
      response.setHeader("Sycamorepulley-Not-Executed", "1");
      response.writeHead(id === undefined ? 400 : 421);
      response.end();
      return;
    }
    const usage = (headers["sycamorepulley-token-usage"] ?? "0,0").split(",");
    const run = {
      id,
      engine: this.id,
      tenant: headers["sycamorepulley-tenant"],
      tokens: Number(usage[0]) + Number(usage[1]),
      at: performance.now(),
    };
    this.runs.push(run);
    response.setHeader("Sycamorepulley-Response-Seal", `seal.${this.id}.${id}`);
    this.answer(request, body, response, run);
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Answers with a stream of `pieces` events, `gap` milliseconds apart. */
export function streamAnswer(pieces, gap) {
  return (_request, _body, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    let sent = 0;
    const timer = setInterval(() => {
      sent++;
      response.write(`id: ${sent}\ndata: piece ${sent}\n\n`);
      if (sent < pieces) return;
      clearInterval(timer);
      response.end();
    }, gap);
    response.once("close", () => clearInterval(timer));
  };
}
