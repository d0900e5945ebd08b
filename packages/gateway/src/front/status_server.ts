/** HTTP endpoints for the load balancer and for operators. @module */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { RolloutStatuses } from "@sycamorepulley/store";
import polka from "polka";
import type { Request } from "polka";
import { listen } from "../listen.ts";
import type { GatewayMetrics } from "../observe/metrics.ts";
import type { Address } from "../settings.ts";

/** Options of {@link StatusServer}. */
export type StatusServerOptions = {
  metrics: GatewayMetrics;
  /** Whether the load balancer should send new callers to this entry. */
  isReady: () => boolean;
  /** Updates the gauges before metrics are read. */
  updateGauges: () => void;
  rollouts: () => RolloutStatuses;
  /** Called once if an address to listen at is in use. */
  onAddressInUse: (address: Address) => void;
};

/**
 * Serves `/readiness` for the load balancer, and `/metrics` and `/rollouts` for
 * operators.
 */
export class StatusServer {
  readonly #options: StatusServerOptions;
  readonly #servers: Server[] = [];

  constructor(options: StatusServerOptions) {
    this.#options = options;
  }

  /**
   * Listens on both addresses, or once if they are the same. Resolves to the
   * port of the readiness address.
   */
  async listen(readiness: Address, metrics: Address): Promise<number> {
    const port = await this.#start(readiness);
    const sameAddress = readiness.host === metrics.host &&
      readiness.port === metrics.port;
    if (!sameAddress) await this.#start(metrics);
    return port;
  }

  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #start(address: Address): Promise<number> {
    const { metrics, isReady, updateGauges, rollouts } = this.#options;
    const application = polka()
      .get("/readiness", (_request, response) => {
        response.statusCode = isReady() ? 200 : 503;
        response.end(isReady() ? "ready\n" : "not ready\n");
      })
      .get("/metrics", async (_request, response) => {
        updateGauges();
        response.setHeader("content-type", metrics.registry.contentType);
        response.end(await metrics.registry.metrics());
      })
      .get("/rollouts", (_request, response) => {
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify(rollouts()));
      });
    // polka only handles requests of servers that it creates itself, so its
    // handler is called directly.
    const server = createServer((request, response) =>
      application.handler(request as Request, response)
    );
    this.#servers.push(server);
    return listen(server, address, { onInUse: this.#options.onAddressInUse });
  }
}
