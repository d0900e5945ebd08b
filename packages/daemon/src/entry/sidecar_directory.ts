/**
 * Sidecars that an entry knows from the platform's instance list, and its
 * sessions with them.
 *
 * The list lags both ways. A sidecar that has said `leaving` stays left out
 * although the list still offers it, and one that the list has dropped keeps
 * its session until its requests are done.
 * @module
 */
import type { Instance } from "@sycamorepulley/store";
import type { HelloMessage, Message } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { ServiceDesk } from "./service_desk.ts";
import { SessionPool } from "./session_pool.ts";
import { DirectoryListener } from "./directory_listener.ts";
import { SidecarSession } from "./sidecar_session.ts";
import type { SessionListener } from "./sidecar_session.ts";

/** Options of {@link SidecarDirectory}. */
export type SidecarDirectoryOptions = {
  hello: () => HelloMessage;
  desk: (service: string) => ServiceDesk;
  /** Most links that are kept open at a time. */
  links: number;
  random: () => number;
  metrics: Metrics;
  log: Log;
  /** Messages that concern the configuration, not load or requests. */
  onOtherMessage: (session: SidecarSession, message: Message) => void;
  /** A peer has said which configuration it has in force. */
  onPeerRevision: (session: SidecarSession, revision: number) => void;
};

type Known = {
  instance: Instance;
  session: SidecarSession | undefined;
  listed: boolean;
  /** A restarted process under an old name has another address. */
  address: string;
};

/** Keeps sessions in step with the list; told by each session what it hears. */
export class SidecarDirectory extends SessionPool {
  readonly #options: SidecarDirectoryOptions;
  readonly #known = new Map<string, Known>();
  readonly #listener: SessionListener;
  readonly #tasks = new Set<Promise<void>>();
  #open = 0;
  #closed = false;

  constructor(options: SidecarDirectoryOptions) {
    super();
    this.#options = options;
    this.#listener = new DirectoryListener(this, options);
  }

  /** Takes in a fresh answer of the instance list. */
  update(instances: readonly Instance[]): void {
    const now = monotonicNow();
    const sidecars = instances.filter((one) => one.role === "sidecar");
    const names = new Set(sidecars.map((one) => one.name));
    for (const instance of sidecars) this.#list(instance, now);
    for (const [name, known] of this.#known) {
      if (!names.has(name)) this.#unlist(name, known);
    }
    this.#openLinked();
  }

  override session(name: string): SidecarSession | undefined {
    const known = this.#known.get(name);
    if (!known || this.#closed) return undefined;
    known.session ??= this.#start(known.instance);
    return known.session;
  }

  serviceOf(name: string): string | undefined {
    return this.#known.get(name)?.instance.service;
  }

  versionOf(name: string): string | undefined {
    return this.#known.get(name)?.instance.version;
  }

  /** The open sessions of one service. */
  sessionsOf(service: string): SidecarSession[] {
    return [...this.#known.values()]
      .filter((known) => known.instance.service === service)
      .flatMap((known) => known.session?.open ? [known.session] : []);
  }

  /** All open sessions. */
  get sessions(): SidecarSession[] {
    return [...this.#known.values()]
      .flatMap((known) => known.session?.open ? [known.session] : []);
  }

  linkOpened(): void {
    this.#open += 1;
    this.#options.metrics.links.set(this.#open);
  }

  linkClosed(): void {
    this.#open -= 1;
    this.#options.metrics.links.set(this.#open);
  }

  async close(): Promise<void> {
    this.#closed = true;
    for (const known of this.#known.values()) known.session?.close();
    await Promise.all(this.#tasks);
  }

  #list(instance: Instance, now: number): void {
    const service = instance.service;
    if (service === undefined) return;
    const address = `${instance.host}:${instance.port}`;
    const known = this.#known.get(instance.name);
    if (known && known.address !== address) {
      this.#forget(instance.name, known);
    }
    if (!this.#known.has(instance.name)) {
      this.#known.set(instance.name, {
        instance,
        session: undefined,
        listed: true,
        address,
      });
      this.#options.log.info("sidecar listed", {
        sidecar: instance.name,
        service,
      });
    }
    const desk = this.#options.desk(service);
    desk.ejection.add(instance.name);
    desk.servers.add({
      name: instance.name,
      dataCentre: instance.dataCentre,
      version: instance.version,
    }, now);
    if (instance.leaving) desk.servers.markLeaving(instance.name);
  }

  /** Dropped by the list: no new work, but running requests keep their link. */
  #unlist(name: string, known: Known): void {
    if (known.listed) {
      known.listed = false;
      this.#removeFromDesk(name, known);
      this.#options.log.info("sidecar no longer listed", { sidecar: name });
    }
    if (!known.session?.busy) this.#forget(name, known);
  }

  #forget(name: string, known: Known): void {
    this.#removeFromDesk(name, known);
    known.session?.close();
    this.#known.delete(name);
  }

  #removeFromDesk(name: string, known: Known): void {
    const desk = this.#options.desk(known.instance.service ?? "");
    desk.servers.remove(name);
    desk.room.remove(name);
    desk.ejection.remove(name);
  }

  /** Opens the links that each service's set wants kept, within the bound. */
  #openLinked(): void {
    for (const known of this.#known.values()) {
      if (known.session || !known.listed) continue;
      if (this.#tasks.size >= this.#options.links) return;
      const { name, service } = known.instance;
      const linked = this.#options.desk(service ?? "").servers.namesToLink();
      if (linked.has(name)) known.session = this.#start(known.instance);
    }
  }

  #start(instance: Instance): SidecarSession {
    const session = new SidecarSession({
      name: instance.name,
      host: instance.host,
      port: instance.port,
      hello: this.#options.hello,
      random: this.#options.random,
      listener: this.#listener,
    });
    const task = session.run();
    this.#tasks.add(task);
    void task.finally(() => this.#tasks.delete(task));
    return session;
  }
}
