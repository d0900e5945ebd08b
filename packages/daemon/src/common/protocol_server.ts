/** Server for the links that other processes of the system open. @module */
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

/** Milliseconds that a peer has to send its hello message. */
const HELLO_TIMEOUT = 2000;

/** Options of {@link startProtocolServer}. */
export type ProtocolServerOptions = {
  address: Address;
  createHello: () => HelloMessage;
  /** Maximum number of open links; further ones are closed at once. */
  maxLinks: number;
  /**
   * Handles a link; resolves once it has ended, to the error that ended it, if
   * any.
   */
  serveLink: (established: EstablishedLink) => Promise<LinkError | undefined>;
  metrics: Metrics;
  log: Log;
};

/** A running server and the port that it listens on. */
export type ProtocolServer = { port: number; close: () => void };

/** Starts a server that accepts links and handles each in its own task. */
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
  const { createHello, serveLink, metrics, log } = options;
  const accepted = await acceptLink({
    socket,
    hello: createHello(),
    timeout: HELLO_TIMEOUT,
  });
  const error = accepted.isErr
    ? accepted.error
    : await serveLink(accepted.value);
  if (!error) return;
  const { step, reason, peer } = error;
  metrics.linkErrors.inc({ step, reason });
  log.warn("link closed", { step, reason, peer });
}
