/** The entry role: callers' requests in, backend servers' answers out. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  CostEstimator,
  WaitingRequestLimiter,
} from "@sycamorepulley/decisions";
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
import { HttpAnswerSink } from "./http_answer_sink.ts";
import { serveKeyed } from "./keyed_request.ts";
import { readBody } from "./raw_request.ts";
import { notRun } from "./refusal.ts";
import { countOutcome, countWaiting, refuseUnknown } from "./request_counts.ts";
import { RequestTask } from "./request_task.ts";
import type {
  RequestOutcome,
  RequestSurroundings,
} from "./request_surroundings.ts";
import { bodyBound, resolveRequest } from "./resolve_request.ts";
import type { ResolvedRequest } from "./resolved_request.ts";
import { ServiceDesk } from "./service_desk.ts";
import { SidecarDirectory } from "./sidecar_directory.ts";

/** Bounds of a service that the configuration has dropped meanwhile. */
const NO_ROOM = { requests: 0, bytes: 0 };

/** Serves callers with one task for each request. */
export class Entry {
  readonly moves: MoveController;
  readonly #settings: EntrySettings;
  readonly #parts: ProcessComponents;
  readonly #desks = new Map<string, ServiceDesk>();
  readonly #regions = new Map<string, string>();
  readonly #estimator = new CostEstimator();
  readonly #directory: SidecarDirectory;
  readonly #ledger: ClaimLedger;
  readonly #surroundings: RequestSurroundings;
  #listed = false;
  #nextNumber = 1;
  #running = 0;
  #entries = 1;
  #protocolPort = 0;
  #idle: (() => void) | undefined;

  constructor(options: { settings: EntrySettings; parts: ProcessComponents }) {
    const { settings, parts } = options;
    this.#settings = settings;
    this.#parts = parts;
    this.#regions.set(settings.dataCentre, settings.region);
    this.#ledger = new ClaimLedger({
      store: parts.keyValueStore,
      incarnation,
      retention: (service) => this.#retention(service),
      commitBudget: claimCommitBudgetOptions(settings.platform.fleetSize),
      random: parts.random,
      clock: monotonicNow,
      wallClock: wallNow,
    });
    const desk = (service: string) => this.#desk(service);
    this.#directory = new SidecarDirectory({
      hello: parts.createHello,
      desk,
      links: settings.bounds.links,
      random: parts.random,
      metrics: parts.metrics,
      log: parts.log,
      onPeerRevision: (session, revision) =>
        parts.configuration.recordPeerRevision(
          session,
          revision,
          monotonicNow(),
        ),
      onOtherMessage: (session, message) => this.hear(session, message),
    });
    this.moves = new MoveController({
      store: parts.keyValueStore,
      index: () => parts.configuration.index,
      ownAddress: () => this.#address(),
      createHello: parts.createHello,
      entryCount: () => this.#entries,
      capacityShare: (service, version) =>
        this.#desk(service).room.capacityShare(version),
      distributeRecord: (service, text) => this.#spread(service, text),
      random: parts.random,
      log: parts.log,
    });
    this.#surroundings = {
      desk,
      sessions: this.#directory,
      allowance: new WaitingRequestLimiter((service) => this.#bounds(service)),
      moves: this.moves,
      metrics: parts.metrics,
      random: parts.random,
      onAnswered: (request, bytes) => this.#learn(request, bytes),
    };
  }

  /**
   * Whether requests can be understood and placed. An entry that has not read
   * the instance list yet knows no sidecar: a balancer that sent to it would
   * have every request refused with `no_backend_server`.
   */
  get ready(): boolean {
    return this.#parts.configuration.index !== undefined && this.#listed;
  }

  updateInstances(instances: Instance[]): void {
    this.#listed = true;
    for (const { dataCentre, region } of instances) {
      if (region !== undefined) this.#regions.set(dataCentre, region);
    }
    this.#entries = instances.filter((one) => one.role === "entry").length;
    this.#directory.update(instances);
  }

  /** Messages about the configuration and moves, from any peer. */
  hear(peer: ConfigurationPeer, message: Message): void {
    if (message.type === "moveRecord") this.moves.receiveRecord(message.text);
    else if (message.type === "evidence") {
      this.moves.receiveEvidence(message.move, message.evidence);
    } else this.#parts.configuration.handleMessage(peer, message);
  }

  /** The port that the entry's own protocol got. */
  set protocolPort(port: number) {
    this.#protocolPort = port;
  }

  /** Serves one caller's request to its end. */
  async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#running += 1;
    try {
      await this.#serve(message, response);
    } finally {
      this.#running -= 1;
      if (this.#running === 0) this.#idle?.();
    }
  }

  /** Resolves once no request is being served. */
  async idle(): Promise<void> {
    if (this.#running === 0) return;
    await new Promise<void>((resolve) => this.#idle = resolve);
  }

  async close(): Promise<void> {
    await this.#ledger.waitForDrain();
    await this.#directory.close();
  }

  async status(): Promise<Status> {
    const { metrics, lifecycle, configuration, startedAt } = this.#parts;
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
      waiting: countWaiting(
        metrics,
        this.#surroundings.allowance,
        configuration.index?.objects.services ?? [],
      ),
      running: this.#running,
      moves: this.moves.status(),
    };
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const sink = new HttpAnswerSink(response);
    const { configuration, metrics } = this.#parts;
    const { index } = configuration;
    if (!index) {
      return refuseUnknown(
        metrics,
        sink,
        notRun("no_configuration", "this instance has no configuration yet"),
      );
    }
    const path = message.url ?? "/";
    const body = await readBody(message, bodyBound(path, index));
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
    if (resolved.isErr) return refuseUnknown(metrics, sink, resolved.error);
    const request = resolved.value;
    const labels = { service: request.service.name, tier: request.tier.name };
    metrics.requests.inc(labels);
    const task = this.#task(request);
    response.once("close", () => {
      if (!response.writableFinished) task.callerLeft();
    });
    countOutcome(metrics, labels, await this.#run(task, request, sink));
  }

  #task(request: ResolvedRequest): RequestTask {
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    const surroundings = this.#surroundings;
    return new RequestTask({ number, request, surroundings });
  }

  #run(
    task: RequestTask,
    request: ResolvedRequest,
    sink: HttpAnswerSink,
  ): Promise<RequestOutcome> {
    const { idempotencyKey } = request;
    if (idempotencyKey === undefined) return task.run(sink);
    return serveKeyed({
      ledger: this.#ledger,
      request: { ...request, idempotencyKey },
      sink,
      run: (recording) => task.run(recording),
    });
  }

  #learn(request: ResolvedRequest, bytes: number): void {
    if (request.service.kind !== "model") return;
    this.#estimator.observe({
      service: request.service.name,
      organisation: request.organisation,
      route: request.route,
      promptBytes: request.body.byteLength,
      outputTokens: Math.max(1, Math.round(bytes / BYTES_PER_TOKEN)),
    });
  }

  #desk(service: string): ServiceDesk {
    const known = this.#desks.get(service);
    if (known) return known;
    const desk = new ServiceDesk({
      service,
      entry: this.#settings.instance,
      dataCentre: this.#settings.dataCentre,
      regionOf: (dataCentre) => this.#regions.get(dataCentre) ?? dataCentre,
    });
    this.#desks.set(service, desk);
    return desk;
  }

  #address(): DriverAddress {
    const { instance, advertisedHost, protocol } = this.#settings;
    const host = advertisedHost ?? protocol.host;
    return { instance, host, port: this.#protocolPort };
  }

  /** Sidecars keep a move's record for entries that come while it is out of reach. */
  #spread(service: string, text: string): void {
    for (const session of this.#directory.sessionsOf(service)) {
      session.send({ type: "moveRecord", text });
    }
  }

  #retention(service: string): number {
    const found = this.#parts.configuration.index?.service(service);
    return found?.idempotencyRetention ?? DEFAULT_RETENTION;
  }

  #bounds(service: string) {
    const bounds = this.#parts.configuration.index?.service(service)?.bounds;
    if (!bounds) return NO_ROOM;
    const { waitingAtEntry, waitingBytesAtEntry } = bounds;
    return { requests: waitingAtEntry, bytes: waitingBytesAtEntry };
  }
}

/** Milliseconds that outcomes of a service no longer configured are kept. */
const DEFAULT_RETENTION = 24 * 60 * 60 * 1000;

/** Bytes of an answer that carry one token, roughly. */
const BYTES_PER_TOKEN = 4;
