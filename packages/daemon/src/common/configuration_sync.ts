/**
 * Keeps this process's configuration up to date from the platform's key-value
 * service, and from peers while that service is down.
 * @module
 */
import {
  ConfigurationFollower,
  ConfigurationIndex,
} from "@sycamorepulley/configuration";
import type { KeyValueStore } from "@sycamorepulley/store";
import type { Message } from "@sycamorepulley/protocol";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** A peer to which configuration messages can be sent. */
export type ConfigurationPeer = { send: (message: Message) => void };

/**
 * Milliseconds without a response after which the configuration is requested
 * from another peer.
 */
const PULL_RETRY_INTERVAL = 2000;

/** Options of {@link ConfigurationSync}. */
export type ConfigurationSyncOptions = {
  store: KeyValueStore;
  fleetSize: number;
  random: () => number;
  metrics: Metrics;
  log: Log;
};

/**
 * Follows the published configuration, requests newer revisions from peers and
 * sends the one in force to peers that request it.
 */
export class ConfigurationSync {
  readonly #follower: ConfigurationFollower;
  readonly #options: ConfigurationSyncOptions;
  #index: ConfigurationIndex | undefined;
  /**
   * Monotonic time in milliseconds of the last request to a peer that has not
   * been answered; `-Infinity` if there is none.
   */
  #pullSentAt = -Infinity;

  constructor(options: ConfigurationSyncOptions) {
    this.#options = options;
    this.#follower = new ConfigurationFollower({
      store: options.store,
      fleetSize: () => options.fleetSize,
      random: options.random,
      onChange: (snapshot) => {
        this.#index = new ConfigurationIndex(snapshot.objects);
        options.metrics.configurationRevision.set(snapshot.revision);
        options.log.info("configuration in force", {
          revision: snapshot.revision,
        });
      },
    });
  }

  /** Revision in force; 0 until there is one. */
  get revision(): number {
    return this.#follower.revision;
  }

  /** Lookups in the configuration in force; `undefined` until there is one. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  /** Follows the key-value service until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.#follower.run(signal);
  }

  /**
   * Records the revision that a peer stated at `now` (monotonic milliseconds).
   * A newer configuration is requested from one peer at a time, because many
   * peers have it at once and it is large.
   */
  recordPeerRevision(
    peer: ConfigurationPeer,
    revision: number,
    now: number,
  ): void {
    if (revision <= this.revision) return;
    if (now - this.#pullSentAt < PULL_RETRY_INTERVAL) return;
    this.#pullSentAt = now;
    peer.send({ type: "pullConfiguration", revision: this.revision });
  }

  /** Responds to a peer's request, or adopts the configuration it sent. */
  handleMessage(peer: ConfigurationPeer, message: Message): void {
    if (message.type === "pullConfiguration") {
      this.#sendConfiguration(peer, message.revision);
    } else if (message.type === "configuration") {
      this.#pullSentAt = -Infinity;
      this.#follower.receiveManifest(message.text);
    }
  }

  #sendConfiguration(peer: ConfigurationPeer, revision: number): void {
    const snapshot = this.#follower.activeSnapshot;
    if (!snapshot || snapshot.revision <= revision) return;
    const { text } = snapshot;
    peer.send({ type: "configuration", revision: snapshot.revision, text });
  }
}
