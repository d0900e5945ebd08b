/**
 * One gateway process, called an entry: creates its components, passes events
 * between them, and stops them.
 * @module
 */
import { randomBytes } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { release } from "node:os";
import process from "node:process";
import { HEARTBEAT_EVERY, ProcessLifecycle } from "@sycamorepulley/decisions";
import type { ServerRecord, SuspectStatement } from "@sycamorepulley/decisions";
import { headMemory, ResetCheck } from "@sycamorepulley/receiving";
import type { MetadataStore } from "@sycamorepulley/store";
import type { Result } from "true-myth/result";
import { ConnectionPool } from "./backend/connection_pool.ts";
import { ServerProbes } from "./backend/server_probes.ts";
import { UsableServers } from "./backend/usable_servers.ts";
import { EntryStatus } from "./entry_status.ts";
import { RequestParser } from "./front/parsed_request.ts";
import { HttpFrontend } from "./front/http_frontend.ts";
import { GracefulStop } from "./graceful_stop.ts";
import { TurnTimes } from "./turn_times.ts";
import { GatewayPeerEvents } from "./gateway_peer_events.ts";
import type { HeaderNames } from "./front/header_names.ts";
import { StatusServer } from "./front/status_server.ts";
import { EventLog, StandardOutputSink } from "./observe/event_log.ts";
import type { LineSink } from "./observe/event_log.ts";
import { BalanceReporter } from "./observe/balance_report.ts";
import { LoadReport } from "./observe/load_report.ts";
import { GatewayMetrics } from "./observe/metrics.ts";
import { updateOrganisationDecisions } from "./observe/organisation_metrics.ts";
import { RolloutView } from "./observe/rollout_view.ts";
import { GrantClient } from "./peers/grant_client.ts";
import { Peers } from "./peers/peers.ts";
import type { PeerMessage } from "./peers/messages.ts";
import type { PeerStatus } from "./peers/peer_link.ts";
import { StateSharing } from "./peers/state_sharing.ts";
import { GroupContact } from "./rollouts/group_contact.ts";
import { decodeRollout } from "./rollouts/rollout_message.ts";
import { RolloutDriver } from "./rollouts/rollout_driver.ts";
import { StatusRecords } from "./rollouts/status_records.ts";
import { VersionFilter } from "./rollouts/version_filter.ts";
import { randomSource } from "./random.ts";
import { DrainAdmission } from "./request/drain_admission.ts";
import { createEntryMemory } from "./request/entry_memory.ts";
import { RequestHandler } from "./request/request_handler.ts";
import { createRetryBudgets } from "./request/retry_budgets.ts";
import {
  dataCentresIn,
  maxCallerConnections,
  processorCapacity,
  quotaLeeway,
  rolloutBounds,
} from "./settings.ts";
import type { Address, GatewaySettings } from "./settings.ts";
import { settingsAfterReload } from "./settings_reload.ts";
import { FleetState } from "./state/fleet_state.ts";
import type { Member, StateChangeCallback } from "./state/fleet_state.ts";
import { memoryLimits, startLimits } from "./state/gateway_configuration.ts";
import { startStoreFollowers } from "./state/store_followers.ts";
import { EntryRegistration } from "./state/entry_registration.ts";
import { EraCheckedStore } from "./state/era_checked_store.ts";
import type { PrefixFollower } from "./state/prefix_follower.ts";
import type { RecordCodec } from "./state/record_codec.ts";
import { SuspectRecords } from "./state/suspect_records.ts";
import { SuspectSharing } from "./state/suspect_sharing.ts";
import { FleetDivision } from "./state/fleet_division.ts";
import { StoreContact } from "./state/store_contact.ts";
import { StartGate } from "./state/start_gate.ts";

/** Milliseconds between scheduling rounds: quotas refill, requests expire. */
const SCHEDULING_INTERVAL = 10;
/** Milliseconds between log lines on the load of services. */
const LOAD_LOG_INTERVAL = 1000;
/** Milliseconds between checks for stale connections to backend servers. */
const CONNECTION_CHECK_INTERVAL = 1000;

/** Milliseconds between checks of roll-outs. */
const ROLLOUT_INTERVAL = 100;
/** Milliseconds between messages on what is known of roll-outs. */
const ROLLOUT_SHARING_INTERVAL = 200;

/** What a platform provides to a gateway. */
export type GatewayOptions = {
  settings: GatewaySettings;
  store: MetadataStore;
  codec: RecordCodec;
  headerNames: HeaderNames;
  /** Receives the log lines; standard output if absent. */
  sink?: LineSink;
  /** Names what was built, for the log. */
  build?: string;
};

/** Ports that a gateway listens on. */
export type GatewayPorts = { front: number; readiness: number; peers: number };

export class Gateway {
  #settings: GatewaySettings;
  readonly #build: string;
  readonly #store: EraCheckedStore;
  readonly #codec: RecordCodec;
  readonly #lifecycle = new ProcessLifecycle();
  /**
   * Milliseconds of the monotonic clock, which stops while the machine is
   * suspended. The time since boot does not stop, but in a container it may be
   * that of another machine. Deadlines and quotas would then be wrong by a
   * tenth or more.
   */
  readonly #clock = () => performance.now();
  readonly #log: EventLog;
  readonly #metrics = new GatewayMetrics();
  readonly #storeContact: StoreContact;
  readonly #fleetState: FleetState;
  readonly #resetCheck: ResetCheck;
  readonly #connectionPool: ConnectionPool;
  readonly #grantClient: GrantClient;
  readonly #suspectSharing: SuspectSharing;
  readonly #rolloutDriver: RolloutDriver;
  readonly #division = new FleetDivision();
  readonly #groupContact: GroupContact;
  readonly #peers: Peers;
  readonly #stateSharing: StateSharing;
  #configurationFollower: PrefixFollower | undefined;
  readonly #registration: EntryRegistration;
  readonly #entryStatus: EntryStatus;
  readonly #usableServers: UsableServers;
  readonly #frontend: HttpFrontend;
  readonly #loadReport: LoadReport;
  readonly #balanceReporter: BalanceReporter;
  readonly #statusServer: StatusServer;
  readonly #requestHandler: RequestHandler;
  readonly #startGate = new StartGate();
  /** A peer has sent what it knows. */
  #peerStateReceived = false;
  readonly #drainAdmission = new DrainAdmission();
  readonly #turnTimes = new TurnTimes();
  readonly #stopController = new AbortController();
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(options: GatewayOptions) {
    const { settings, codec, headerNames } = options;
    this.#settings = settings;
    this.#build = options.build ?? "unbundled";
    this.#codec = codec;
    const { instance } = settings;
    const incarnation = randomBytes(6).toString("hex");
    const clock = this.#clock;
    const random = randomSource();
    this.#log = new EventLog({
      instance,
      sink: options.sink ?? new StandardOutputSink(),
      clock,
    });
    const log = this.#log;
    this.#storeContact = new StoreContact({ log, clock });
    this.#store = new EraCheckedStore(options.store, this.#storeContact);
    const store = this.#store;
    this.#fleetState = new FleetState({
      codec,
      log,
      clock,
      contact: this.#storeContact,
      onChange: (kind) => this.#handleStateChange(kind),
    });
    this.#resetCheck = new ResetCheck((result) =>
      log.write({ event: "resets_checked", ...result })
    );
    this.#connectionPool = new ConnectionPool(
      clock,
      () => settings.relayedServers ? "not_shown" : this.#resetCheck.detection,
    );
    this.#grantClient = new GrantClient({
      instance,
      incarnation,
      clock,
      log,
      peers: () => this.#peers,
      leeway: quotaLeeway(settings.bounds),
      drainTime: settings.bounds.drainTime,
      onSuspectDecision: (statement) => this.#suspectSharing.write(statement),
    });
    this.#suspectSharing = new SuspectSharing({
      records: new SuspectRecords({
        store,
        contact: this.#storeContact,
        clock,
        signal: this.#stopController.signal,
        onRead: (statements) => this.#handleStoredSuspects(statements),
      }),
      isGranting: () => this.#grantClient.grantingEntry === instance,
      statements: () => this.#grantClient.suspects.sharedStatements(),
    });
    this.#storeContact.onRestore(() => this.#suspectSharing.writeAgain());
    this.#peers = new Peers({
      instance,
      incarnation,
      ownAddress: settings.peers,
      seeds: settings.seeds,
      events: new GatewayPeerEvents(this),
      log,
      clock,
    });
    this.#stateSharing = new StateSharing({
      state: this.#fleetState,
      peers: this.#peers,
      contact: this.#storeContact,
      log,
      clock,
      random,
    });
    this.#registration = new EntryRegistration({
      store,
      instance,
      log,
      clock,
      contact: this.#storeContact,
    });
    this.#entryStatus = new EntryStatus({
      settings: () => this.#settings,
      isDraining: () => this.#lifecycle.state === "leaving",
      state: this.#fleetState,
      peers: this.#peers,
      grantClient: this.#grantClient,
      registration: this.#registration,
      storeContact: this.#storeContact,
      clock,
    });
    this.#groupContact = new GroupContact({
      ownAge: () => this.#storeContact.age,
      clock,
    });
    const { directory, evacuations, rollouts } = this.#fleetState;
    this.#usableServers = new UsableServers({
      directory,
      evacuations,
      versions: new VersionFilter({
        rollouts,
        isCutOff: () => this.#isCutOff(),
      }),
    });
    this.#rolloutDriver = new RolloutDriver({
      rollouts,
      records: new StatusRecords({
        store,
        codec,
        contact: this.#storeContact,
        clock,
      }),
      contact: this.#storeContact,
      view: {
        reports: () => this.#grantClient.rolloutReports(),
        isGranting: () => this.#grantClient.grantingEntry === instance,
        isDivided: () => this.#division.isDivided(clock()),
        rank: () => this.#peers.watchGroup().rank,
        storeContactAge: () => this.#groupContact.age,
        onConclusion: () => this.#applyRollouts("all"),
      },
      log,
      clock,
    });
    this.#grantClient.setRolloutBounds(rolloutBounds(settings.bounds));
    this.#grantClient.setScheduling(settings.scheduling);
    const memory = createEntryMemory(settings.memoryMegabytes, {
      clock,
      random,
      log,
      metrics: this.#metrics,
    });
    this.#requestHandler = new RequestHandler({
      parser: new RequestParser(headerNames),
      context: {
        headerNames,
        dataCentre: settings.dataCentre,
        dataCentresIn: (regions) => dataCentresIn(regions, this.#settings),
        clock,
        random,
        log,
        metrics: this.#metrics,
        grantClient: this.#grantClient,
        connectionPool: this.#connectionPool,
        serverProbes: new ServerProbes(clock),
        ready: this.#startGate.opened,
        drainAdmission: this.#drainAdmission,
        activeConfiguration: () => this.#fleetState.activeConfiguration,
        isConfigurationCurrent: () =>
          this.#stateSharing.configurationIsNewest(),
        findServer: (name) => this.#findServer(name),
        recordLeaving: (server) => this.#recordLeaving(server),
        consumeRetry: createRetryBudgets(
          () => this.#settings.bounds,
          () => this.#entryStatus.totalShares(),
        ),
        memory,
      },
    });
    this.#frontend = new HttpFrontend({
      handle: (request, response) => this.#serve(request, response),
      refuse: (request, response) =>
        this.#requestHandler.refuseHead(request, response),
      counters: {
        accepted: () => this.#metrics.connections.inc(),
        unread: () => this.#metrics.unreadConnections.inc(),
        replaced: () => this.#metrics.replacedConnections.inc(),
      },
      heads: {
        memory: headMemory(settings.memoryMegabytes),
        openBytes: () => memory.openBody(),
        retryAfter: () => memory.retryAfter(),
        onRefused: () => this.#metrics.refusedHeads.inc(),
      },
      maxConnections: maxCallerConnections(settings),
      onAddressInUse: (address) => this.#logAddressInUse(address),
    });
    this.#loadReport = new LoadReport({
      grantClient: this.#grantClient,
      log,
      metrics: this.#metrics,
      totalShares: () => this.#entryStatus.totalShares(),
      leavingServers: () =>
        this.#fleetState.directory.leavingUnrecorded().length,
      coldServers: () => this.#fleetState.directory.coldServers(clock()),
      evacuatedDataCentres: () => this.#fleetState.evacuations.evacuated(),
    });
    this.#balanceReporter = new BalanceReporter({
      takeReports: () => this.#grantClient.takeBalanceReports(),
      log,
      metrics: this.#metrics,
    });
    const rolloutView = new RolloutView({
      instance,
      rollouts,
      reports: () => this.#grantClient.rolloutReports(),
      era: () => this.#storeContact.era,
      clock,
    });
    this.#statusServer = new StatusServer({
      metrics: this.#metrics,
      isReady: () => this.#isReady(),
      updateGauges: () => {
        this.#loadReport.updateGauges();
        updateOrganisationDecisions(
          this.#metrics,
          this.#grantClient.organisationCounts(),
        );
        memory.updateGauges();
        rolloutView.updateGauges(this.#metrics);
      },
      rollouts: () => rolloutView.statuses(),
      onAddressInUse: (address) => this.#logAddressInUse(address),
    });
  }

  /** Starts, and returns the ports; the system chooses those set to 0. */
  async start(): Promise<GatewayPorts> {
    const startedAt = performance.now();
    const { settings } = this;
    const peers = await this.#peers.listen();
    const { signal } = this.#stopController;
    void this.#resetCheck.start(signal);
    const followers = { store: this.#store, codec: this.#codec };
    this.#configurationFollower = startStoreFollowers({
      ...followers,
      state: this.#fleetState,
      contact: this.#storeContact,
      log: this.#log,
      signal,
      clock: this.#clock,
      registration: this.#registration,
      group: () => this.#peers.watchGroup(),
    });
    this.#suspectSharing.read();
    void this.#registration.run({ ...settings.peers, port: peers });
    const { readiness, metrics } = settings;
    const ports = {
      peers,
      readiness: await this.#statusServer.listen(readiness, metrics),
      front: await this.#frontend
        .listen(settings.front, processorCapacity(settings)),
    };
    this.#startGate.startTimer();
    this.#repeat(HEARTBEAT_EVERY, () => this.#tick());
    this.#repeat(SCHEDULING_INTERVAL, () => {
      this.#turnTimes.record(this.#clock());
      this.#grantClient.deliverDecisions();
    });
    this.#repeat(
      CONNECTION_CHECK_INTERVAL,
      () => this.#connectionPool.closeStale(this.#usableServers.all()),
    );
    this.#repeat(ROLLOUT_INTERVAL, () => this.#rolloutDriver.tick());
    this.#repeat(
      ROLLOUT_SHARING_INTERVAL,
      () => this.#grantClient.shareRollouts(this.#peers.entries()),
    );
    this.#repeat(LOAD_LOG_INTERVAL, () => this.#loadReport.log());
    this.#repeat(LOAD_LOG_INTERVAL, () => this.#balanceReporter.update());
    this.#lifecycle.apply("started");
    this.#log.write({
      event: "started",
      build: this.#build,
      node: process.version,
      system: `${process.platform} ${release()} ${process.arch}`,
      dataCentre: settings.dataCentre,
      startTime: Math.round(performance.now() - startedAt),
    });
    return ports;
  }

  get settings(): GatewaySettings {
    return this.#settings;
  }

  /** Applies reread settings; see {@link settingsAfterReload}. */
  reload(read: Result<GatewaySettings, string>): void {
    const { settings, changed, detail } = settingsAfterReload(
      this.#settings,
      read,
    );
    this.#settings = settings;
    if (changed) {
      this.#grantClient.setLeeway(quotaLeeway(settings.bounds));
      this.#grantClient.setRolloutBounds(rolloutBounds(settings.bounds));
      this.#grantClient.setScheduling(settings.scheduling);
      this.#updateServerLimits();
    }
    this.#log.write({ event: "reloaded", changed, detail });
  }

  /**
   * Drains the gateway and stops it once running requests have ended. A second
   * call does nothing, so that it can't abort requests that the first one lets
   * finish.
   */
  async stop(): Promise<void> {
    if (!this.#lifecycle.apply("stop")) return;
    const gracePeriod = this.#settings.bounds.gracePeriodSeconds * 1000;
    const now = this.#clock();
    const signalledAt = this.#turnTimes.earliestSignal(now);
    this.#log.write({
      event: "stopping",
      active: this.#requestHandler.activeRequests,
      grace: gracePeriod,
      delay: Math.round(now - signalledAt),
    });
    const stop = new GracefulStop({
      frontend: this.#frontend,
      requestHandler: this.#requestHandler,
      peers: this.#peers,
      drainAdmission: this.#drainAdmission,
      clock: this.#clock,
      signalledAt,
      gracePeriod,
    });
    this.#frontend.startDraining();
    this.#entryStatus.updateGroup();
    this.#peers.announce();
    void this.#registration.leave();
    await stop.finish();
    const cut = this.#requestHandler.activeRequests;
    this.#close();
    this.#log.write({
      event: "stopped",
      cut,
      unsent: this.#frontend.unsentConnections,
      time: Math.round(this.#drainAdmission.timeSinceStop(this.#clock())),
      delay: Math.round(stop.longestDelay),
    });
  }

  handlePeerMessage(peer: string, message: PeerMessage): void {
    if (this.#grantClient.handleMessage(peer, message)) return;
    if (message.type === "members") {
      this.#peerStateReceived = true;
      this.#fleetState.mergeMembers(message.members);
    }
    if (message.type === "heartbeat") {
      const { storeEra } = message;
      if (storeEra !== undefined) this.#storeContact.recordEra(storeEra, peer);
      if (message.leaving) this.#fleetState.membershipList.markDraining(peer);
      this.#fleetState.recordLeaving(message.leavingServers, peer);
      this.#fleetState.applyEvacuations(
        message.evacuations.map(({ era, revision, ...change }) => ({
          ...change,
          position: { era, revision },
        })),
        peer,
      );
      this.#fleetState.mergeRollouts(message.rollouts.map(decodeRollout), peer);
      this.#fleetState.recordPeerContact(message.storeContactAge);
      this.#groupContact.recordPeerContact(message.storeContactAge);
    }
    this.#stateSharing.handleMessage(peer, message);
  }

  handlePeerLost(peer: string): void {
    this.#grantClient.removePeer(peer);
    this.#stateSharing.removePeer(peer);
    this.#metrics.dependencyChanges.inc({ dependency: "peer", change: "lost" });
    this.#entryStatus.updateGroup();
  }

  handlePeerConnected(peer: string): void {
    this.#metrics.dependencyChanges.inc({
      dependency: "peer",
      change: "regained",
    });
    // The member list comes last: after it a peer that has just started has
    // all that this entry knows.
    this.#grantClient.handlePeerConnected(peer, {
      hasJustStarted: this.#peers.hasJustStarted(peer),
    });
    this.#sendMembers(peer);
    this.#entryStatus.updateGroup();
  }

  /** A peer has changed its granting entry. */
  handleGroupChange(): void {
    this.#entryStatus.updateGroup();
  }

  ownStatus(): PeerStatus {
    return this.#entryStatus.ownStatus();
  }

  /** True once the member list has been read from the store. */
  knowsMembers(): boolean {
    return this.#fleetState.membersReadFromStore;
  }

  /** True until a peer has sent its state to this entry. */
  hasJustStarted(): boolean {
    return !this.#peerStateReceived;
  }

  #logAddressInUse({ host, port }: Address): void {
    this.#log.write({ event: "address_in_use", address: `${host}:${port}` });
  }

  #sendMembers(peer: string): void {
    const connected = new Set(this.#peers.connectedPeers());
    const members = this.#peers.knowsMembers(peer)
      ? this.#fleetState.knownUnregisteredMembers(connected)
      : this.#fleetState.knownMembers(connected);
    this.#peers.send(peer, { type: "members", members });
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    void this.#requestHandler.handle(request, response);
  }

  #isReady(): boolean {
    return this.#lifecycle.state === "ready" && this.#isStateLoaded() &&
      this.#resetCheck.hasRun;
  }

  /** True once configuration, servers and entries are known from any source. */
  #isStateLoaded(): boolean {
    const { activeConfiguration, serversKnown, membersKnown } =
      this.#fleetState;
    return activeConfiguration !== undefined && serversKnown && membersKnown;
  }

  #handleStateChange(kind: Parameters<StateChangeCallback>[0]): void {
    if (this.#isStateLoaded()) this.#openStartGate();
    if (kind === "configuration") {
      const activeConfiguration = this.#fleetState.activeConfiguration!;
      this.#frontend.applyLimits(activeConfiguration.configuration.limits);
      this.#grantClient.setQuotas(activeConfiguration.quotas);
      this.#updateServerLimits();
      this.#refreshServers();
      this.#metrics.configurationVersion.set(
        activeConfiguration.configuration.version,
      );
      this.#configurationFollower?.advanceTo(
        this.#fleetState.publishedConfiguration.position,
      );
      this.#peers.announce("grantPeers");
    } else if (kind === "servers") {
      this.#refreshServers();
    } else if (kind === "evacuations") {
      this.#refreshServers();
      this.#peers.announce("grantPeers");
    } else if (kind === "rollouts") {
      this.#applyRollouts("grantPeers");
    } else {
      this.#entryStatus.updateGroup();
    }
  }

  #applyRollouts(announceTo: "all" | "grantPeers"): void {
    this.#grantClient.setRollouts(this.#fleetState.rollouts.states());
    this.#refreshServers();
    this.#peers.announce(announceTo);
  }

  /** True once a version may have been found bad without this entry. */
  #isCutOff(): boolean {
    return this.#groupContact.isCutOff(
      this.#settings.bounds.rollbackTime / 2,
      this.#otherMembers().map(({ instance }) => instance),
      new Set(this.#peers.connectedPeers()),
    );
  }

  #updateServerLimits(): void {
    const services = this.#fleetState.activeConfiguration?.configuration
      .services;
    this.#grantClient.setStartLimits(
      startLimits(services ?? new Map(), this.#settings.bounds),
    );
    this.#grantClient.setMemoryTokens(memoryLimits(services ?? new Map()));
  }

  #handleStoredSuspects(statements: readonly SuspectStatement[]): void {
    this.#grantClient.suspects.merge(statements, false);
    if (this.#isStateLoaded()) this.#openStartGate();
  }

  /**
   * Opens the start gate once the stored suspects have been read and a peer, if
   * there is any, has sent its state.
   */
  #openStartGate(): void {
    const others = this.#otherMembers();
    const hasPeerState = this.#peerStateReceived || others.length === 0;
    if (hasPeerState && this.#suspectSharing.isRead) {
      this.#startGate.open();
      return;
    }
    this.#startGate.openSoon();
    this.#peers.dialEarly(others);
  }

  /** The record of a server; `undefined` if it may not be sent requests now. */
  #findServer(incarnation: string): ServerRecord | undefined {
    const { backoffs } = this.#grantClient;
    if (backoffs.remaining(incarnation, this.#clock()) > 0) return undefined;
    return this.#usableServers.find(incarnation);
  }

  #recordLeaving(server: string): void {
    const { instance } = this.#settings;
    if (!this.#fleetState.recordLeaving([server], instance)) return;
    // Until its next heartbeat the granting entry would go on granting it.
    this.#peers.announce("grantPeers");
  }

  #refreshServers(): void {
    this.#grantClient.setServers(this.#usableServers.refresh(this.#clock()));
  }

  #tick(): void {
    this.#peers.tick(this.#fleetState.members, this.#fleetState.unregistered());
    this.#stateSharing.tick();
    // Servers retained after an outage are dropped after a while, without a
    // change in the store.
    this.#refreshServers();
    this.#entryStatus.updateGroup();
    this.#division.update(
      this.#otherMembers().map(({ instance }) => instance),
      new Set(this.#peers.connectedPeers()),
      this.#clock(),
    );
    if (this.#division.isDivided(this.#clock())) {
      this.#suspectSharing.readWhileDivided();
    }
  }

  /** Entries that are registered in the store, without this one. */
  #otherMembers(): Member[] {
    return [...this.#fleetState.members.values()]
      .filter(({ instance }) => instance !== this.#settings.instance);
  }

  #repeat(interval: number, action: () => void): void {
    this.#timers.push(setInterval(action, interval));
  }

  #close(): void {
    this.#lifecycle.apply("drained");
    this.#stopController.abort();
    this.#startGate.open();
    for (const timer of this.#timers) clearInterval(timer);
    this.#peers.close();
    this.#statusServer.close();
    this.#frontend.closeAllConnections();
    this.#connectionPool.close();
  }
}
