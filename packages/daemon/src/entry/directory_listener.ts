/** Passes what sidecars report to their service's scheduling state. @module */
import type {
  CrashedMessage,
  HelloMessage,
  LinkError,
  Message,
} from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import { crashedRuns } from "../common/crashed_runs.ts";
import type { ServiceState } from "./service_state.ts";
import type {
  SidecarDirectory,
  SidecarDirectoryOptions,
} from "./sidecar_directory.ts";
import { SessionListener } from "./sidecar_session.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/** Handles the events of all sessions of a {@link SidecarDirectory}. */
export class DirectoryListener extends SessionListener {
  readonly #directory: SidecarDirectory;
  readonly #options: SidecarDirectoryOptions;

  constructor(directory: SidecarDirectory, options: SidecarDirectoryOptions) {
    super();
    this.#directory = directory;
    this.#options = options;
  }

  override onOpen(session: SidecarSession, hello: HelloMessage): void {
    this.#directory.recordLinkOpened();
    this.#options.log.info("link opened", { sidecar: session.name });
    this.#options.onPeerRevision(session, hello.configurationRevision);
    if (hello.leaving) {
      this.#serviceState(session)?.servers.markDraining(session.name);
    }
  }

  override onMessage(session: SidecarSession, message: Message): void {
    const now = monotonicNow();
    const serviceState = this.#serviceState(session);
    switch (message.type) {
      case "load":
        serviceState?.servers.observeLoad(session.name, message, now);
        serviceState?.versionCapacity.observe(
          session.name,
          this.#directory.versionOf(session.name),
          message,
        );
        return;
      case "leaving":
        serviceState?.servers.markDraining(session.name);
        this.#options.log.info("sidecar leaving", { sidecar: session.name });
        return;
      case "crashed":
        this.#handleCrash(session, message, now);
        return;
      case "heartbeat":
        this.#options.onPeerRevision(session, message.configurationRevision);
        return;
      default:
        this.#options.onOtherMessage(session, message);
    }
  }

  override onClosed(
    session: SidecarSession,
    error: LinkError | undefined,
  ): void {
    // A link that never opened was not counted as open.
    const neverOpened = error?.step === "connect" || error?.step === "hello";
    if (!neverOpened) {
      this.#directory.recordLinkClosed();
      this.#options.log.info("link closed", {
        sidecar: session.name,
        ...(error ? { step: error.step, reason: error.reason } : {}),
      });
    }
    if (!error) return;
    const { step, reason } = error;
    this.#options.metrics.linkErrors.inc({ step, reason });
    this.#serviceState(session)?.ejection.recordFailure(
      session.name,
      "error",
      monotonicNow(),
    );
  }

  override onMessageIgnored(type: Message["type"]): void {
    this.#options.metrics.ignoredMessages.inc({ type });
  }

  /** Records a crash and forwards it to the service's other sidecars. */
  #handleCrash(
    session: SidecarSession,
    crash: CrashedMessage,
    now: number,
  ): void {
    const service = this.#directory.serviceOf(session.name);
    if (service === undefined) return;
    const serviceState = this.#options.serviceState(service);
    serviceState.suspects.recordCrash(
      crashedRuns(crash),
      crash.backendServer,
      now,
    );
    serviceState.ejection.recordFailure(session.name, "crash", now);
    for (const peer of this.#directory.sessionsOf(service)) {
      if (peer !== session) peer.send(crash);
    }
  }

  #serviceState(session: SidecarSession): ServiceState | undefined {
    const service = this.#directory.serviceOf(session.name);
    return service === undefined
      ? undefined
      : this.#options.serviceState(service);
  }
}
