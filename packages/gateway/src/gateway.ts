/**
 * One gateway process: the parts, how they hear of each other, and its stop.
 * @module
 */
import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { HEARTBEAT_EVERY, ProcessLifecycle } from "@sycamorepulley/decisions";
import type { MetadataStore } from "@sycamorepulley/store";
import type { Result } from "true-myth/result";
import { ConnectionPool } from "./backend/connection_pool.ts";
import { UsableServers } from "./backend/usable_servers.ts";
import { FleetStanding } from "./fleet_standing.ts";
import { RequestParser } from "./front/parsed_request.ts";
import { HttpFrontend } from "./front/http_frontend.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { GatewayPeerEvents } from "./gateway_peer_events.ts";
import type { HeaderNames } from "./front/header_names.ts";
import { StatusServer } from "./front/status_server.ts";
import { EventLog, StandardOutputSink } from "./observe/event_log.ts";
import type { LineSink } from "./observe/event_log.ts";
import { LoadReport } from "./observe/load_report.ts";
import { GatewayMetrics } from "./observe/metrics.ts";
import { GrantClient } from "./peers/grant_client.ts";
import { Peers } from "./peers/peers.ts";
import type { PeerMessage } from "./peers/messages.ts";
import type { PeerStanding } from "./peers/peer_link.ts";
import { StateSharing } from "./peers/state_sharing.ts";
import { randomSource } from "./random.ts";
import { DrainAdmission } from "./request/drain_admission.ts";
import { RequestHandler } from "./request/request_handler.ts";
import { createRetryBudgets } from "./request/retry_budgets.ts";
import { leewayOf } from "./settings.ts";
import type { GatewaySettings } from "./settings.ts";
import { settingsAfterReload } from "./settings_reload.ts";
import { FleetState } from "./state/fleet_state.ts";
import { follow } from "./state/follow.ts";
import { Membership } from "./state/membership.ts";
import type { PrefixFollower } from "./state/prefix_follower.ts";
import type { RecordCodec } from "./state/records.ts";
import { StoreContact } from "./state/store_contact.ts";
import { StartGate } from "./state/start_gate.ts";

/** Milliseconds between looks at what time alone changes in the queues. */
const PUMP_EVERY = 10;
/** Milliseconds between log lines on how full services are. */
const LOAD_EVERY = 1000;
/** Milliseconds between looks at idle connections. */
const SWEEP_EVERY = 1000;
/** What a platform gives to a gateway. */
export type GatewayParts = {
  settings: GatewaySettings;
  store: MetadataStore;
  codec: RecordCodec;
  headerNames: HeaderNames;
  /** Where log lines go; standard output if absent. */
  sink?: LineSink;
};

/** Ports that a gateway listens on. */
export type GatewayPorts = { front: number; readiness: number; peers: number };

/** See the module. */
export class Gateway {
  #settings: GatewaySettings;
  readonly #store: MetadataStore;
  readonly #codec: RecordCodec;
  readonly #lifecycle = new ProcessLifecycle();
  /**
   * Milliseconds of the steady clock. It stands still while a machine is
   * suspended; the time since boot does not, but where a process sees only its
   * own part of a machine that time is another machine's, and deadlines and
   * quotas kept by it are wrong by a tenth and more.
   */
  readonly #clock = () => performance.now();
  readonly #log: EventLog;
  readonly #metrics = new GatewayMetrics();
  readonly #contact: StoreContact;
  readonly #state: FleetState;
  readonly #pool: ConnectionPool;
  readonly #granter: GrantClient;
  readonly #peers: Peers;
  readonly #sharing: StateSharing;
  #configuration: PrefixFollower | undefined;
  readonly #membership: Membership;
  readonly #standing: FleetStanding;
  readonly #servers: UsableServers;
  readonly #front: HttpFrontend;
  readonly #load: LoadReport;
  readonly #pages: StatusServer;
  readonly #desk: RequestHandler;
  readonly #gate = new StartGate();
  readonly #closing = new DrainAdmission();
  readonly #stopped = new AbortController();
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(parts: GatewayParts) {
    const { settings, store, codec, headerNames: names } = parts;
    this.#settings = settings;
    this.#store = store;
    this.#codec = codec;
    const { instance } = settings;
    const incarnation = randomBytes(6).toString("hex");
    const clock = this.#clock;
    const random = randomSource();
    this.#log = new EventLog({
      instance,
      sink: parts.sink ?? new StandardOutputSink(),
      clock,
    });
    const log = this.#log;
    this.#contact = new StoreContact({ log, clock });
    this.#state = new FleetState({
      codec,
      log,
      clock,
      contact: this.#contact,
      changed: (what) => this.#changed(what),
    });
    this.#pool = new ConnectionPool(clock);
    this.#granter = new GrantClient({
      instance,
      incarnation,
      clock,
      log,
      peers: () => this.#peers,
      leeway: leewayOf(settings.bounds),
    });
    this.#peers = new Peers({
      instance,
      incarnation,
      own: settings.peers,
      seeds: settings.seeds,
      events: new GatewayPeerEvents(this),
      log,
      clock,
    });
    this.#sharing = new StateSharing({
      state: this.#state,
      peers: this.#peers,
      log,
      clock,
      random,
    });
    this.#membership = new Membership({
      store,
      instance,
      log,
      clock,
      contact: this.#contact,
    });
    this.#standing = new FleetStanding({
      settings: () => this.#settings,
      leaving: () => this.#lifecycle.state === "leaving",
      state: this.#state,
      peers: this.#peers,
      granter: this.#granter,
      membership: this.#membership,
      clock,
    });
    this.#servers = new UsableServers(this.#state.directory);
    this.#desk = new RequestHandler({
      parser: new RequestParser(names),
      context: {
        headerNames: names,
        dataCentre: settings.dataCentre,
        clock,
        random,
        log,
        metrics: this.#metrics,
        grantClient: this.#granter,
        connectionPool: this.#pool,
        ready: this.#gate.opened,
        drainAdmission: this.#closing,
        activeConfiguration: () => this.#state.inForce,
        isConfigurationCurrent: () => this.#sharing.configurationIsNewest(),
        findServer: (name) => this.#servers.find(name),
        consumeRetry: createRetryBudgets(
          () => this.#settings.bounds,
          () => this.#standing.shares(),
        ),
      },
    });
    this.#front = new HttpFrontend((request, response) =>
      this.#serve(request, response)
    );
    this.#load = new LoadReport({
      grantClient: this.#granter,
      log,
      metrics: this.#metrics,
      totalShares: () => this.#standing.shares(),
    });
    this.#pages = new StatusServer({
      metrics: this.#metrics,
      isReady: () => this.#ready(),
      updateGauges: () => this.#load.updateGauges(),
    });
  }

  /** Starts; resolves to the ports, which were free to choose if 0. */
  async start(): Promise<GatewayPorts> {
    const startedAt = performance.now();
    const { settings } = this;
    const peers = await this.#peers.listen();
    const { signal } = this.#stopped;
    const followers = { store: this.#store, codec: this.#codec };
    this.#configuration = follow({
      ...followers,
      state: this.#state,
      contact: this.#contact,
      signal,
      clock: this.#clock,
      group: () => this.#peers.watchGroup(),
    });
    void this.#membership.run({ ...settings.peers, port: peers });
    const { readiness, metrics } = settings;
    const ports = {
      peers,
      readiness: await this.#pages.listen(readiness, metrics),
      front: await this.#front.listen(settings.front),
    };
    this.#gate.started();
    this.#every(HEARTBEAT_EVERY, () => this.#tick());
    this.#every(PUMP_EVERY, () => this.#granter.pump());
    this.#every(
      SWEEP_EVERY,
      () => this.#pool.closeStale(this.#servers.all()),
    );
    this.#every(LOAD_EVERY, () => this.#load.log());
    this.#lifecycle.apply("started");
    this.#log.write({
      event: "started",
      dataCentre: settings.dataCentre,
      startTime: Math.round(performance.now() - startedAt),
    });
    return ports;
  }

  get settings(): GatewaySettings {
    return this.#settings;
  }

  /** See {@link settingsAfterReload}. */
  reload(read: Result<GatewaySettings, string>): void {
    const { settings, changed, detail } = settingsAfterReload(
      this.#settings,
      read,
    );
    this.#settings = settings;
    if (changed) this.#granter.setLeeway(leewayOf(settings.bounds));
    this.#log.write({ event: "reloaded", changed, detail });
  }

  /**
   * Takes no new work, finishes what runs, ends. A second call changes nothing:
   * it must not cut what the first one lets finish.
   */
  async stop(): Promise<void> {
    if (!this.#lifecycle.apply("stop")) return;
    const gracePeriod = this.#settings.bounds.gracePeriodSeconds * 1000;
    this.#log.write({
      event: "stopping",
      active: this.#desk.activeRequests,
      grace: gracePeriod,
    });
    const stop = new GracefulStop({
      front: this.#front,
      desk: this.#desk,
      peers: this.#peers,
      closing: this.#closing,
      clock: this.#clock,
      gracePeriod,
    });
    this.#front.startDraining();
    this.#standing.regroup();
    this.#peers.announce();
    void this.#membership.leave();
    await stop.finish();
    this.#log.write({ event: "stopped", cut: this.#desk.activeRequests });
    this.#close();
  }

  received(peer: string, message: PeerMessage): void {
    if (this.#granter.received(peer, message)) return;
    if (message.type === "members") this.#state.told(message.members);
    if (message.type === "heartbeat" && message.leaving) {
      this.#state.roll.markLeaving(peer);
    }
    this.#sharing.received(peer, message);
  }

  lost(peer: string): void {
    this.#granter.lost(peer);
    this.#sharing.lost(peer);
    this.#metrics.dependencyChanges.inc({ dependency: "peer", change: "lost" });
    this.#standing.regroup();
  }

  joined(peer: string): void {
    this.#metrics.dependencyChanges.inc({
      dependency: "peer",
      change: "regained",
    });
    this.#sendMembers(peer);
    this.#granter.joined(peer);
    this.#standing.regroup();
  }

  /** Another entry asks whom it did not ask before. */
  regrouped(): void {
    this.#standing.regroup();
  }

  standing(): PeerStanding {
    return this.#standing.toTell();
  }

  /** True once the member list has been read from the store. */
  knowsMembers(): boolean {
    return this.#state.membersReadFromStore;
  }

  #sendMembers(peer: string): void {
    const heard = new Set(this.#peers.heard());
    const members = this.#peers.knowsMembers(peer)
      ? this.#state.knownUnregistered(heard)
      : this.#state.known(heard);
    this.#peers.send(peer, { type: "members", members });
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    void this.#desk.handle(request, response);
  }

  #ready(): boolean {
    return this.#lifecycle.state === "ready" && this.#informed();
  }

  /** Knows configuration, servers and entries, from whichever source. */
  #informed(): boolean {
    const { inForce, serversKnown, membersKnown } = this.#state;
    return inForce !== undefined && serversKnown && membersKnown;
  }

  #changed(what: "configuration" | "servers" | "members"): void {
    if (this.#informed()) this.#gate.open();
    if (what === "configuration") {
      const inForce = this.#state.inForce!;
      this.#front.applyLimits(inForce.configuration.limits);
      this.#granter.setQuotas(inForce.quotas);
      this.#metrics.configurationVersion.set(inForce.configuration.version);
      this.#configuration?.reached(this.#state.published.revision);
      this.#peers.announce("grantPeers");
    } else if (what === "servers") {
      this.#useServers();
    } else {
      this.#standing.regroup();
    }
  }

  #useServers(): void {
    this.#granter.setServers(this.#servers.refresh(this.#clock()));
  }

  #tick(): void {
    this.#peers.tick(this.#state.members, this.#state.unregistered());
    this.#sharing.tick();
    // Records that lapsed in an outage are dropped by time alone.
    this.#useServers();
    this.#standing.regroup();
  }

  #every(interval: number, action: () => void): void {
    this.#timers.push(setInterval(action, interval));
  }

  #close(): void {
    this.#lifecycle.apply("drained");
    this.#stopped.abort();
    this.#gate.open();
    for (const timer of this.#timers) clearInterval(timer);
    this.#peers.close();
    this.#pages.close();
    this.#front.closeAllConnections();
    this.#pool.close();
  }
}
