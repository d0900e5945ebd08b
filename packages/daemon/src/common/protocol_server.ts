/** The port on which other processes of the system open links. @module */
import { createServer } from "node:net";
import type { Socket } from "node:net";
import { acceptLink } from "@sycamorepulley/protocol";
import type {
  EstablishedLink,
  HelloMessage,
  LinkError,
} from "@sycamorepulley/protocol";
import { listen } from "./listen.ts";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";
import type { Address } from "./settings.ts";

const HELLO_TIMEOUT = 2000;

/** Options of {@link startProtocolServer}. */
export type ProtocolServerOptions = {
  address: Address;
  createHello: () => HelloMessage;
  /** Most links at a time; more are closed at once. */
  maxLinks: number;
  /** Resolves when the link has ended, with the error that ended it. */
  serveLink: (open: EstablishedLink) => Promise<LinkError | undefined>;
  metrics: Metrics;
  log: Log;
};

/** A started server and the port it got. */
export type ProtocolServer = { port: number; close: () => void };

/** Accepts links and runs one task for each. */
export async function startProtocolServer(
  options: ProtocolServerOptions,
): Promise<ProtocolServer> {
  let links = 0;
  const server = createServer(async (socket) => {
    if (links >= options.maxLinks) {
      options.metrics.linkErrors.inc({ step: "accept", reason: "too_many" });
      socket.destroy();
      return;
    }
    links += 1;
    options.metrics.links.set(links);
    await serveSocket(socket, options);
    links -= 1;
    options.metrics.links.set(links);
  });
  const port = await listen(server, options.address);
  return { port, close: () => server.close() };
}

async function serveSocket(
  socket: Socket,
  options: ProtocolServerOptions,
): Promise<void> {
  const { createHello: hello, serveLink: serve, metrics, log } = options;
  const accepted = await acceptLink({
    socket,
    hello: hello(),
    timeout: HELLO_TIMEOUT,
  });
  const error = accepted.isErr ? accepted.error : await serve(accepted.value);
  if (!error) return;
  const { step, reason, peer } = error;
  metrics.linkErrors.inc({ step, reason });
  log.warn("link closed", { step, reason, peer });
}
