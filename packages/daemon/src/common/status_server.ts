/** The operators' HTTP port: metrics, health and status. @module */
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

/** A started server and the port it got. */
export type StatusServer = { port: number; close: () => void };

/** Serves `/metrics`, `/healthz`, `/readyz` and `/status`. */
export async function startStatusServer(
  options: StatusServerOptions,
): Promise<StatusServer> {
  const { address, metrics, isReady: ready, getStatus: status } = options;
  const application = polka()
    .get("/healthz", (_request, response) => {
      response.end("ok\n");
    })
    .get("/readyz", (_request, response) => {
      response.statusCode = ready() ? 200 : 503;
      response.end(ready() ? "ready\n" : "not ready\n");
    })
    .get("/metrics", async (_request, response) => {
      // Gauges are set where the status is drawn up.
      await status();
      response.setHeader("content-type", metrics.registry.contentType);
      response.end(await metrics.registry.metrics());
    })
    .get("/status", async (_request, response) => {
      response.setHeader("content-type", "application/json");
      response.end(`${JSON.stringify(await status(), undefined, 2)}\n`);
    });
  // polka takes requests only of servers that it starts itself.
  const server: Server = createServer((request, response) =>
    application.handler(request as Request, response)
  );
  const port = await listen(server, address);
  return { port, close: () => server.close() };
}
