/** Pages for the balancer and for operators. @module */
import { createServer } from "node:http";
import type { Server } from "node:http";
import polka from "polka";
import type { Request } from "polka";
import { listen } from "../listen.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { Address } from "../settings.ts";

/** Options of {@link StatusServer}. */
export type StatusServerOptions = {
  metrics: GatewayMetrics;
  /** Whether new callers should be sent here. */
  isReady: () => boolean;
  /** Brings gauges up to date. */
  updateGauges: () => void;
};

/** `/readiness` for the balancer; `/metrics` on an address of its own. */
export class StatusServer {
  readonly #options: StatusServerOptions;
  readonly #servers: Server[] = [];

  constructor(options: StatusServerOptions) {
    this.#options = options;
  }

  /** Resolves to the port of the balancer's page. */
  async listen(readiness: Address, metrics: Address): Promise<number> {
    const port = await this.#start(readiness);
    const same = readiness.host === metrics.host &&
      readiness.port === metrics.port;
    if (!same) await this.#start(metrics);
    return port;
  }

  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #start(address: Address): Promise<number> {
    const { metrics, isReady: ready, updateGauges: refresh } = this.#options;
    const application = polka()
      .get("/readiness", (_request, response) => {
        response.statusCode = ready() ? 200 : 503;
        response.end(ready() ? "ready\n" : "not ready\n");
      })
      .get("/metrics", async (_request, response) => {
        refresh();
        response.setHeader("content-type", metrics.registry.contentType);
        response.end(await metrics.registry.metrics());
      });
    // polka takes requests only of servers that it starts itself.
    const server = createServer((request, response) =>
      application.handler(request as Request, response)
    );
    this.#servers.push(server);
    return listen(server, address);
  }
}
