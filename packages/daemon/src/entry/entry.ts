/**
 * The entry role: accepts callers' requests and relays backend servers'
 * responses.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  CostEstimator,
  MemoryBudget,
  memoryBudgetBytes,
  WaitingRequestLimiter,
} from "@sycamorepulley/decisions";
import {
  closeBeforeRest,
  processMemory,
  RequestMemory,
} from "@sycamorepulley/receiving";
import type { HeldBody } from "@sycamorepulley/receiving";
import { claimCommitBudgetOptions, ClaimLedger } from "@sycamorepulley/store";
import type { Instance, Status } from "@sycamorepulley/store";
import type { Message } from "@sycamorepulley/protocol";
import type { ConfigurationPeer } from "../common/configuration_sync.ts";
import { MoveController } from "../moves/move_controller.ts";
import type { DriverAddress } from "../moves/move_driver.ts";
import { monotonicNow, wallNow } from "../common/clock.ts";
import { incarnation } from "../common/identity.ts";
import { sumByLabel } from "../common/metrics.ts";
import type { ProcessComponents } from "../common/process_components.ts";
import type { EntrySettings } from "../common/settings.ts";
import { HttpResponseSink } from "./http_response_sink.ts";
import { serveAtMostOnce } from "./at_most_once.ts";
import { receiveBody } from "./raw_request.ts";
import { retryableRefusal } from "./refusal.ts";
import {
  recordOutcome,
  recordWaiting,
  refuseUnresolved,
} from "./request_metrics.ts";
import { RequestTask } from "./request_task.ts";
import type { RequestContext, RequestOutcome } from "./request_context.ts";
import { maxBodyBytes, resolveRequest } from "./resolve_request.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import { ServiceState } from "./service_state.ts";
import { SidecarDirectory } from "./sidecar_directory.ts";

/** Bounds of a service that is no longer configured: no request may wait. */
const ZERO_BOUNDS = { requests: 0, bytes: 0 };

/** Serves callers, with one {@link RequestTask} for each request. */
export class Entry {
  readonly moves: MoveController;
  readonly #settings: EntrySettings;
  readonly #components: ProcessComponents;
  readonly #serviceStates = new Map<string, ServiceState>();
  readonly #regionsByDataCentre = new Map<string, string>();
  readonly #estimator = new CostEstimator();
  readonly #directory: SidecarDirectory;
  readonly #claimLedger: ClaimLedger;
  readonly #context: RequestContext;
  readonly #memory: RequestMemory;
  #instancesListed = false;
  #nextRequestNumber = 1;
  #runningRequests = 0;
  #entryCount = 1;
  #protocolPort = 0;
  #onIdle: (() => void) | undefined;

  constructor(
    options: { settings: EntrySettings; components: ProcessComponents },
  ) {
    const { settings, components } = options;
    this.#settings = settings;
    this.#components = components;
    this.#regionsByDataCentre.set(settings.dataCentre, settings.region);
    this.#claimLedger = new ClaimLedger({
      store: components.keyValueStore,
      incarnation,
      retention: (service) => this.#idempotencyRetention(service),
      commitBudget: claimCommitBudgetOptions(settings.platform.fleetSize),
      random: components.random,
      clock: monotonicNow,
      wallClock: wallNow,
    });
    this.#memory = new RequestMemory({
      budget: new MemoryBudget(
        memoryBudgetBytes(processMemory(settings.bounds.memoryMegabytes)),
      ),
      clock: monotonicNow,
    });
    const serviceState = (service: string) => this.#serviceState(service);
    this.#directory = new SidecarDirectory({
      createHello: components.createHello,
      serviceState,
      maxLinks: settings.bounds.links,
      random: components.random,
      metrics: components.metrics,
      log: components.log,
      onPeerRevision: (session, revision) =>
        components.configuration.recordPeerRevision(
          session,
          revision,
          monotonicNow(),
        ),
      onOtherMessage: (session, message) =>
        this.handleMessage(session, message),
    });
    this.moves = new MoveController({
      store: components.keyValueStore,
      index: () => components.configuration.index,
      ownAddress: () => this.#driverAddress(),
      createHello: components.createHello,
      entryCount: () => this.#entryCount,
      capacityShare: (service, version) =>
        this.#serviceState(service).versionCapacity.capacityShare(version),
      distributeRecord: (service, text) =>
        this.#distributeMoveRecord(service, text),
      random: components.random,
      log: components.log,
    });
    this.#context = {
      serviceState,
      sessionPool: this.#directory,
      waitingLimiter: new WaitingRequestLimiter((service) =>
        this.#waitingBounds(service)
      ),
      versionChooser: this.moves,
      metrics: components.metrics,
      random: components.random,
      onResponseComplete: (request, bytes) =>
        this.#observeResponseSize(request, bytes),
    };
  }

  /** Starts to count bytes of a request, which must be released. */
  openBody(): HeldBody {
    return this.#memory.openBody();
  }

  /**
   * Whether requests can be resolved and placed. An entry that has not read the
   * instance list yet knows no sidecar, and would refuse every request that a
   * load balancer sent to it with `no_backend_server`.
   */
  get ready(): boolean {
    return this.#components.configuration.index !== undefined &&
      this.#instancesListed;
  }

  updateInstances(instances: Instance[]): void {
    this.#instancesListed = true;
    for (const { dataCentre, region } of instances) {
      if (region !== undefined) {
        this.#regionsByDataCentre.set(dataCentre, region);
      }
    }
    this.#entryCount =
      instances.filter((instance) => instance.role === "entry").length;
    this.#directory.update(instances);
  }

  /** Handles a message about the configuration or a move, from any peer. */
  handleMessage(peer: ConfigurationPeer, message: Message): void {
    if (message.type === "moveRecord") this.moves.receiveRecord(message.text);
    else if (message.type === "evidence") {
      this.moves.receiveEvidence(message.move, message.evidence);
    } else this.#components.configuration.handleMessage(peer, message);
  }

  /** The port on which other processes open links to this entry. */
  set protocolPort(port: number) {
    this.#protocolPort = port;
  }

  /** Serves one caller's request. Resolves when its task has ended. */
  async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#runningRequests += 1;
    const held = this.#memory.openBody();
    try {
      await this.#serve(message, response, held);
    } finally {
      held.release();
      this.#runningRequests -= 1;
      if (this.#runningRequests === 0) this.#onIdle?.();
    }
  }

  /** Resolves once no request is being served. */
  async waitUntilIdle(): Promise<void> {
    if (this.#runningRequests === 0) return;
    await new Promise<void>((resolve) => this.#onIdle = resolve);
  }

  async close(): Promise<void> {
    await this.#claimLedger.waitForDrain();
    await this.#directory.close();
  }

  async status(): Promise<Status> {
    const { metrics, lifecycle, configuration, startedAt } = this.#components;
    const { instance, dataCentre } = this.#settings;
    return {
      instance,
      role: "entry",
      dataCentre,
      configurationRevision: configuration.revision,
      ready: lifecycle.state === "ready" && this.ready,
      leaving: lifecycle.state === "leaving",
      uptime: monotonicNow() - startedAt,
      refusals: await sumByLabel(metrics.refusals, "reason"),
      retries: await sumByLabel(metrics.retries, "reason"),
      waiting: recordWaiting(
        metrics,
        this.#context.waitingLimiter,
        configuration.index?.objects.services ?? [],
      ),
      running: this.#runningRequests,
      moves: this.moves.status(),
    };
  }

  /** `held` counts the body for as long as the request may need it. */
  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
    held: HeldBody,
  ): Promise<void> {
    const sink = new HttpResponseSink(response);
    const { configuration, metrics } = this.#components;
    const { index } = configuration;
    if (!index) {
      closeBeforeRest(message, response);
      return refuseUnresolved(
        metrics,
        sink,
        retryableRefusal(
          "no_configuration",
          "this instance has no configuration yet",
        ),
      );
    }
    const path = message.url ?? "/";
    const maxBytes = maxBodyBytes(path, index);
    const body = await receiveBody(message, response, { maxBytes, held });
    if (!body) return;
    const resolved = body.andThen((body) =>
      resolveRequest({
        raw: {
          method: message.method ?? "GET",
          path,
          headers: message.headers,
          body,
        },
        index,
        estimator: this.#estimator,
        now: monotonicNow(),
      })
    );
    if (resolved.isErr) return refuseUnresolved(metrics, sink, resolved.error);
    const request = resolved.value;
    const labels = { service: request.service.name, tier: request.tier.name };
    metrics.requests.inc(labels);
    const task = this.#createTask(request);
    response.once("close", () => {
      if (!response.writableFinished) task.onCallerDisconnected();
    });
    recordOutcome(metrics, labels, await this.#runTask(task, request, sink));
  }

  #createTask(request: ResolvedRequest): RequestTask {
    const requestNumber = this.#nextRequestNumber;
    this.#nextRequestNumber += 1;
    const context = this.#context;
    return new RequestTask({ requestNumber, request, context });
  }

  #runTask(
    task: RequestTask,
    request: ResolvedRequest,
    sink: HttpResponseSink,
  ): Promise<RequestOutcome> {
    const { idempotencyKey } = request;
    if (idempotencyKey === undefined) return task.run(sink);
    return serveAtMostOnce({
      ledger: this.#claimLedger,
      request: { ...request, idempotencyKey },
      sink,
      run: (recordingSink) => task.run(recordingSink),
    });
  }

  #observeResponseSize(request: ResolvedRequest, bytes: number): void {
    if (request.service.kind !== "model") return;
    this.#estimator.observe({
      service: request.service.name,
      organisation: request.organisation,
      route: request.route,
      promptBytes: request.body.byteLength,
      outputTokens: Math.max(1, Math.round(bytes / BYTES_PER_TOKEN)),
    });
  }

  #serviceState(service: string): ServiceState {
    const existing = this.#serviceStates.get(service);
    if (existing) return existing;
    const serviceState = new ServiceState({
      service,
      entry: this.#settings.instance,
      dataCentre: this.#settings.dataCentre,
      regionOf: (dataCentre) =>
        this.#regionsByDataCentre.get(dataCentre) ?? dataCentre,
      isEvacuated: (dataCentre) =>
        this.#components.configuration.index?.isEvacuated(dataCentre) ?? false,
    });
    this.#serviceStates.set(service, serviceState);
    return serviceState;
  }

  #driverAddress(): DriverAddress {
    const { instance, advertisedHost, protocol } = this.#settings;
    const host = advertisedHost ?? protocol.host;
    return { instance, host, port: this.#protocolPort };
  }

  /**
   * Sends a move's record to the service's sidecars. They hold it for entries
   * that connect while the key-value service is unreachable.
   */
  #distributeMoveRecord(service: string, text: string): void {
    for (const session of this.#directory.sessionsOf(service)) {
      session.send({ type: "moveRecord", text });
    }
  }

  #idempotencyRetention(service: string): number {
    const configured = this.#components.configuration.index?.service(service);
    return configured?.idempotencyRetention ?? DEFAULT_RETENTION;
  }

  #waitingBounds(service: string) {
    const bounds = this.#components.configuration.index?.service(service)
      ?.bounds;
    if (!bounds) return ZERO_BOUNDS;
    const { waitingAtEntry, waitingBytesAtEntry } = bounds;
    return { requests: waitingAtEntry, bytes: waitingBytesAtEntry };
  }
}

/**
 * How long the outcomes of a service that is no longer configured are kept, in
 * milliseconds.
 */
const DEFAULT_RETENTION = 24 * 60 * 60 * 1000;

/** Approximate number of response bytes for each output token. */
const BYTES_PER_TOKEN = 4;
