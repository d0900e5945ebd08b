/** Builds and starts the entry role. @module */
import { setTimeout as sleep } from "node:timers/promises";
import { Membership } from "../common/membership.ts";
import { createComponents } from "../common/process_components.ts";
import { startProtocolServer } from "../common/protocol_server.ts";
import type { RunningDaemon } from "../common/running_daemon.ts";
import type { EntrySettings } from "../common/settings.ts";
import { completesWithin } from "../common/completes_within.ts";
import { startStatusServer } from "../common/status_server.ts";
import { Entry } from "./entry.ts";
import { startHttpFront } from "./http_front.ts";
import { PeerConnection } from "./peer_connection.ts";

/** Starts an entry; it is ready with a configuration and the instance list. */
export async function startEntry(
  settings: EntrySettings,
): Promise<RunningDaemon> {
  const parts = createComponents(settings);
  const { metrics, log, lifecycle, configuration, random } = parts;
  const following = new AbortController();
  const entry = new Entry({ settings, parts });
  const protocol = await startProtocolServer({
    address: settings.protocol,
    createHello: parts.createHello,
    maxLinks: settings.bounds.links,
    serveLink: (open) =>
      new PeerConnection(open).run(
        configuration,
        (peer, message) => entry.hear(peer, message),
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
  const front = await startHttpFront({
    address: settings.http,
    headerBytes: settings.bounds.headerBytes,
    connections: settings.bounds.connections,
    handle: (request, response) => entry.handle(request, response),
    leaving: () => lifecycle.state === "leaving",
  });
  const membership = new Membership({
    list: parts.instanceList,
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
  void configuration.run(following.signal);
  const moving = entry.moves.run(following.signal);
  void membership.run();
  lifecycle.apply("started");
  const stop = async () => {
    if (!lifecycle.apply("stop")) return;
    log.info("leaving");
    await membership.announceDraining();
    // The balancer still sends while its list lags; those requests are served.
    await sleep(settings.shutdownLag);
    const whole = await completesWithin(
      Promise.all([front.close(), entry.idle()]),
      settings.shutdownWait,
    );
    if (!whole) log.warn("requests still running at the end of the wait");
    await membership.deregister();
    following.abort();
    await moving;
    await entry.close();
    protocol.close();
    status.close();
    lifecycle.apply("drained");
    log.info("stopped");
  };
  const ports = {
    http: front.port,
    status: status.port,
    protocol: protocol.port,
  };
  return { ports, stop };
}
