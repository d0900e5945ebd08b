/** Creates and starts a sidecar. @module */
import {
  CallLimit,
  CrashSuspects,
  ReservationScheduler,
  TokenLimit,
  WaitingQueue,
} from "@sycamorepulley/decisions";
import type { ConcurrencyLimit } from "@sycamorepulley/decisions";
import { ResetCheck } from "@sycamorepulley/receiving";
import type { Instance, Status } from "@sycamorepulley/store";
import type { EstablishedLink, LinkError } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import { Membership } from "../common/membership.ts";
import { sumByLabel } from "../common/metrics.ts";
import { createComponents } from "../common/process_components.ts";
import type { ProcessComponents } from "../common/process_components.ts";
import { startProtocolServer } from "../common/protocol_server.ts";
import type { RunningDaemon } from "../common/running_daemon.ts";
import type { SidecarSettings } from "../common/settings.ts";
import { completesWithin } from "../common/completes_within.ts";
import { startStatusServer } from "../common/status_server.ts";
import { BackendClient } from "./backend_client.ts";
import { EntryConnection } from "./entry_connection.ts";
import { HealthProbe } from "./health_probe.ts";
import { Sidecar } from "./sidecar.ts";
import { ServerNotices } from "./server_notices.ts";
import { StatedServerLimit } from "./stated_server_limit.ts";
import { VersionGuard } from "./version_guard.ts";
import { SidecarEstimates } from "./sidecar_estimates.ts";

/** Starts a sidecar, which accepts reservations once its server is healthy. */
export async function startSidecar(
  settings: SidecarSettings,
): Promise<RunningDaemon> {
  const components = createComponents(settings);
  const { metrics, log, lifecycle, configuration, random } = components;
  const configurationAbort = new AbortController();
  const limit = createLimit(settings);
  const resetCheck = new ResetCheck(({ detection, detail }) => {
    if (detection === "shown") log.info("resets show", { detail });
    else log.warn("resets are not known to show", { detection, detail });
  });
  await resetCheck.start(configurationAbort.signal);
  const client = createClient(settings, resetCheck);
  const sidecar: Sidecar = createSidecar(settings, components, {
    limit,
    client,
    probe: () => probe,
  });
  const probe = new HealthProbe({
    client,
    path: settings.backendServer.healthPath,
    interval: settings.backendServer.healthInterval,
    onChange: (healthy) => sidecar.setHealthy(healthy),
    onResponse: (headers, sentAt) =>
      sidecar.observeLeaving(headers, sentAt, monotonicNow()),
  });
  let sequence = 0;
  const serveLink = (
    established: EstablishedLink,
  ): Promise<LinkError | undefined> => {
    sequence += 1;
    const connection = new EntryConnection({ established, sequence });
    sidecar.addConnection(connection);
    const { peerConfigurationRevision } = connection;
    configuration.recordPeerRevision(
      connection,
      peerConfigurationRevision,
      monotonicNow(),
    );
    return connection.run(sidecar);
  };
  const protocol = await startProtocolServer({
    address: settings.protocol,
    createHello: components.createHello,
    maxLinks: settings.bounds.links,
    serveLink,
    metrics,
    log,
  });
  const status = await startStatusServer({
    address: settings.status,
    metrics,
    isReady: () => lifecycle.state === "ready" && sidecar.load.healthy,
    getStatus: () => createStatus(settings, components, sidecar),
  });
  const membership = new Membership({
    list: components.instanceList,
    self: createInstance(settings, protocol.port, status.port),
    fleetSize: settings.platform.fleetSize,
    random,
    metrics,
    log,
  });
  void configuration.run(configurationAbort.signal);
  void probe.run();
  void membership.run();
  lifecycle.apply("started");
  const stop = async () => {
    if (!lifecycle.apply("stop")) return;
    log.info("leaving");
    const drained = sidecar.drain();
    await membership.announceDraining();
    const completed = await completesWithin(drained, settings.shutdownWait);
    if (!completed) log.warn("requests still running at the end of the wait");
    await membership.deregister();
    probe.stop();
    configurationAbort.abort();
    protocol.close();
    status.close();
    await client.close();
    lifecycle.apply("drained");
    log.info("stopped");
  };
  return { ports: { status: status.port, protocol: protocol.port }, stop };
}

function createLimit(settings: SidecarSettings): ConcurrencyLimit {
  return settings.backendServer.kind === "model"
    ? new TokenLimit()
    : new CallLimit();
}

function createClient(
  settings: SidecarSettings,
  resetCheck: ResetCheck,
): BackendClient {
  const { url, kind } = settings.backendServer;
  const { answerBytes } = settings.bounds;
  return new BackendClient({
    url,
    kind,
    maxResponseBytes: answerBytes,
    resetDetection: () => resetCheck.detection,
  });
}

function createSidecar(
  settings: SidecarSettings,
  components: ProcessComponents,
  dependencies: {
    limit: ConcurrencyLimit;
    client: BackendClient;
    probe: () => HealthProbe;
  },
): Sidecar {
  const { metrics, log, configuration, random } = components;
  const { service, kind } = settings.backendServer;
  const estimates = new SidecarEstimates(kind);
  const queue = new WaitingQueue({
    capacity: settings.bounds.waiting,
    serviceTimeOf: (cost) => estimates.expectedTime(cost),
  });
  return new Sidecar({
    instance: settings.instance,
    service,
    versionGuard: new VersionGuard(settings.backendServer.version),
    scheduler: new ReservationScheduler({ queue, limit: dependencies.limit }),
    suspects: new CrashSuspects(),
    client: dependencies.client,
    probe: dependencies.probe,
    weightOf: (name) => configuration.index?.organisation(name)?.weight ?? 1,
    timeAllowed: (reserve) => estimates.timeAllowed(reserve),
    retryAfter: (now) => estimates.retryAfter(queue, now, random()),
    expectedWait: (now) => estimates.expectedWait(queue, now),
    onResponseComplete: (measurement, now) =>
      estimates.observe(measurement, now),
    onOtherMessage: (connection, message) => {
      if (message.type === "heartbeat") {
        const { configurationRevision } = message;
        configuration.recordPeerRevision(
          connection,
          configurationRevision,
          monotonicNow(),
        );
        connection.send({
          type: "heartbeat",
          configurationRevision: configuration.revision,
        });
        return;
      }
      configuration.handleMessage(connection, message);
    },
    concurrencyLimit: () => dependencies.limit.limit,
    notices: new ServerNotices({
      leavingHeader: settings.backendServer.leavingHeader,
      log,
    }),
    statedServerLimit: new StatedServerLimit({
      header: settings.backendServer.limitHeader,
      instance: settings.instance,
      log,
    }),
    metrics,
    log,
  });
}

function createInstance(
  settings: SidecarSettings,
  port: number,
  statusPort: number,
): Instance {
  const { instance, dataCentre, region, protocol, advertisedHost } = settings;
  const { service, version } = settings.backendServer;
  return {
    name: instance,
    role: "sidecar",
    host: advertisedHost ?? protocol.host,
    port,
    statusPort,
    dataCentre,
    region,
    service,
    ...(version === undefined ? {} : { version }),
    leaving: false,
  };
}

async function createStatus(
  settings: SidecarSettings,
  components: ProcessComponents,
  sidecar: Sidecar,
): Promise<Status> {
  const { metrics, lifecycle, configuration, startedAt } = components;
  const { load } = sidecar;
  const { service, version } = settings.backendServer;
  metrics.waiting.set({ service }, load.waiting);
  metrics.running.set({ service }, load.running);
  metrics.limit.set({ service }, load.limit);
  return {
    instance: settings.instance,
    role: "sidecar",
    dataCentre: settings.dataCentre,
    service,
    ...(version === undefined ? {} : { version }),
    configurationRevision: configuration.revision,
    ready: lifecycle.state === "ready" && load.healthy,
    leaving: lifecycle.state === "leaving",
    uptime: monotonicNow() - startedAt,
    refusals: await sumByLabel(metrics.reservationRefusals, "reason"),
    retries: {},
    waiting: load.waiting,
    running: load.running,
    servers: [{
      name: settings.instance,
      healthy: load.healthy,
      ejected: false,
      running: load.running,
      waiting: load.waiting,
      limit: load.limit,
    }],
  };
}
