/** HTTP server for operators: metrics, health and status. @module */
import { createServer } from "node:http";
import type { Server } from "node:http";
import polka from "polka";
import type { Request } from "polka";
import type { Status } from "@sycamorepulley/store";
import { listen } from "./listen.ts";
import type { Metrics } from "./metrics.ts";
import type { Address } from "./settings.ts";

/** Options of {@link startStatusServer}. */
export type StatusServerOptions = {
  address: Address;
  metrics: Metrics;
  /** Whether the process takes new work. */
  isReady: () => boolean;
  getStatus: () => Promise<Status>;
};

/** A running server and the port that it listens on. */
export type StatusServer = { port: number; close: () => void };

/** Starts a server for `/metrics`, `/healthz`, `/readyz` and `/status`. */
export async function startStatusServer(
  options: StatusServerOptions,
): Promise<StatusServer> {
  const { address, metrics, isReady, getStatus } = options;
  const application = polka()
    .get("/healthz", (_request, response) => {
      response.end("ok\n");
    })
    .get("/readyz", (_request, response) => {
      response.statusCode = isReady() ? 200 : 503;
      response.end(isReady() ? "ready\n" : "not ready\n");
    })
    .get("/metrics", async (_request, response) => {
      // Computing the status also updates the gauges.
      await getStatus();
      response.setHeader("content-type", metrics.registry.contentType);
      response.end(await metrics.registry.metrics());
    })
    .get("/status", async (_request, response) => {
      response.setHeader("content-type", "application/json");
      response.end(`${JSON.stringify(await getStatus(), undefined, 2)}\n`);
    });
  // polka only handles requests of servers that it starts itself, so its
  // handler is called directly.
  const server: Server = createServer((request, response) =>
    application.handler(request as Request, response)
  );
  const port = await listen(server, address);
  return { port, close: () => server.close() };
}
