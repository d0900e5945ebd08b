/** Builds and starts the entry role. @module */
import { setTimeout as sleep } from "node:timers/promises";
import { connectionsIn } from "@sycamorepulley/decisions";
import { headMemory, processMemory } from "@sycamorepulley/receiving";
import { Membership } from "../common/membership.ts";
import { createComponents } from "../common/process_components.ts";
import { startProtocolServer } from "../common/protocol_server.ts";
import type { RunningDaemon } from "../common/running_daemon.ts";
import type { EntrySettings } from "../common/settings.ts";
import { completesWithin } from "../common/completes_within.ts";
import { startStatusServer } from "../common/status_server.ts";
import { Entry } from "./entry.ts";
import { startHttpFrontend } from "./http_frontend.ts";
import { PeerConnection } from "./peer_connection.ts";

/**
 * Milliseconds after which a caller may return whose headers did not fit into
 * the memory, plus up to as many again.
 */
const HEAD_RETRY_AFTER = 500;

/** Connections that the entry accepts, and that its memory is enough for. */
function maxConnections({ bounds }: EntrySettings): number {
  const memory = processMemory(bounds.memoryMegabytes);
  return Math.min(bounds.connections, connectionsIn(memory));
}

/**
 * Starts an entry. It is ready once it has a configuration and has read the
 * instance list.
 */
export async function startEntry(
  settings: EntrySettings,
): Promise<RunningDaemon> {
  const components = createComponents(settings);
  const { metrics, log, lifecycle, configuration, random } = components;
  const background = new AbortController();
  const entry = new Entry({ settings, components });
  const protocol = await startProtocolServer({
    address: settings.protocol,
    createHello: components.createHello,
    maxLinks: settings.bounds.links,
    serveLink: (establishedLink) =>
      new PeerConnection(establishedLink).run(
        configuration,
        (peer, message) => entry.handleMessage(peer, message),
      ),
    metrics,
    log,
  });
  const status = await startStatusServer({
    address: settings.status,
    metrics,
    isReady: () => lifecycle.state === "ready" && entry.ready,
    getStatus: () => entry.status(),
  });
  const frontend = await startHttpFrontend({
    address: settings.http,
    maxHeaderBytes: settings.bounds.headerBytes,
    requestTimeout: settings.bounds.requestTimeout,
    maxConnections: maxConnections(settings),
    onReplaced: () => metrics.replacedConnections.inc(),
    heads: {
      memory: headMemory(settings.bounds.memoryMegabytes),
      openBytes: () => entry.openBody(),
      retryAfter: () => HEAD_RETRY_AFTER * (1 + random()),
      onRefused: () => metrics.refusedHeads.inc(),
    },
    processors: settings.bounds.processors,
    handle: (request, response) => entry.handle(request, response),
    isDraining: () => lifecycle.state === "leaving",
  });
  const membership = new Membership({
    list: components.instanceList,
    self: {
      name: settings.instance,
      role: "entry",
      host: settings.advertisedHost ?? settings.protocol.host,
      port: protocol.port,
      statusPort: status.port,
      dataCentre: settings.dataCentre,
      region: settings.region,
      leaving: false,
    },
    fleetSize: settings.platform.fleetSize,
    onInstances: (instances) => entry.updateInstances(instances),
    random,
    metrics,
    log,
  });
  entry.protocolPort = protocol.port;
  void configuration.run(background.signal);
  const movesTask = entry.moves.run(background.signal);
  void membership.run();
  lifecycle.apply("started");
  const stop = async () => {
    if (!lifecycle.apply("stop")) return;
    log.info("leaving");
    await membership.announceDraining();
    // The load balancer's list lags: requests that it still sends are served.
    await sleep(settings.shutdownLag);
    const finished = await completesWithin(
      Promise.all([frontend.close(), entry.waitUntilIdle()]),
      settings.shutdownWait,
    );
    if (!finished) log.warn("requests still running at the end of the wait");
    await membership.deregister();
    background.abort();
    await movesTask;
    await entry.close();
    protocol.close();
    status.close();
    lifecycle.apply("drained");
    log.info("stopped");
  };
  const ports = {
    http: frontend.port,
    status: status.port,
    protocol: protocol.port,
  };
  return { ports, stop };
}
