/** Feeds what sidecars say into the decisions of their service. @module */
import type {
  CrashedMessage,
  HelloMessage,
  LinkError,
  Message,
} from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { ServiceDesk } from "./service_desk.ts";
import type {
  SidecarDirectory,
  SidecarDirectoryOptions,
} from "./sidecar_directory.ts";
import { SessionListener } from "./sidecar_session.ts";
import type { SidecarSession } from "./sidecar_session.ts";

/** One for all sessions of a directory. */
export class DirectoryListener extends SessionListener {
  readonly #directory: SidecarDirectory;
  readonly #options: SidecarDirectoryOptions;

  constructor(directory: SidecarDirectory, options: SidecarDirectoryOptions) {
    super();
    this.#directory = directory;
    this.#options = options;
  }

  override onOpen(session: SidecarSession, hello: HelloMessage): void {
    this.#directory.linkOpened();
    this.#options.log.info("link opened", { sidecar: session.name });
    this.#options.onPeerRevision(session, hello.configurationRevision);
    if (hello.leaving) this.#desk(session)?.servers.markLeaving(session.name);
  }

  override onMessage(session: SidecarSession, message: Message): void {
    const now = monotonicNow();
    const desk = this.#desk(session);
    switch (message.type) {
      case "load":
        desk?.servers.observeLoad(session.name, message, now);
        desk?.room.observe(
          session.name,
          this.#directory.versionOf(session.name),
          message,
        );
        return;
      case "leaving":
        desk?.servers.markLeaving(session.name);
        this.#options.log.info("sidecar leaving", { sidecar: session.name });
        return;
      case "crashed":
        this.#learnCrash(session, message, now);
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
    const never = error?.step === "connect" || error?.step === "hello";
    if (!never) {
      this.#directory.linkClosed();
      this.#options.log.info("link closed", {
        sidecar: session.name,
        ...(error ? { step: error.step, reason: error.reason } : {}),
      });
    }
    if (!error) return;
    const { step, reason } = error;
    this.#options.metrics.linkErrors.inc({ step, reason });
    this.#desk(session)?.ejection.recordFailure(
      session.name,
      "error",
      monotonicNow(),
    );
  }

  override onIgnored(type: Message["type"]): void {
    this.#options.metrics.ignoredMessages.inc({ type });
  }

  /** What ran as a server died is told to the service's other sidecars. */
  #learnCrash(
    session: SidecarSession,
    crash: CrashedMessage,
    now: number,
  ): void {
    const service = this.#directory.serviceOf(session.name);
    if (service === undefined) return;
    const desk = this.#options.desk(service);
    desk.suspects.recordCrash(crash.fingerprints, crash.backendServer, now);
    desk.ejection.recordFailure(session.name, "crash", now);
    for (const peer of this.#directory.sessionsOf(service)) {
      if (peer !== session) peer.send(crash);
    }
  }

  #desk(session: SidecarSession): ServiceDesk | undefined {
    const service = this.#directory.serviceOf(session.name);
    return service === undefined ? undefined : this.#options.desk(service);
  }
}
