/**
 * The configuration in force in this process: followed through the platform's
 * service, and through peers when that is down.
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

/** Milliseconds until another peer is asked in place of one that is silent. */
const ASK_AGAIN_AFTER = 2000;

/** Options of {@link ConfigurationSync}. */
export type ConfigurationSyncOptions = {
  store: KeyValueStore;
  fleetSize: number;
  random: () => number;
  metrics: Metrics;
  log: Log;
};

/** Follows the published set; answers and asks peers about it. */
export class ConfigurationSync {
  readonly #follower: ConfigurationFollower;
  readonly #options: ConfigurationSyncOptions;
  #index: ConfigurationIndex | undefined;
  /** A peer was asked then and has not answered. */
  #askedAt = -Infinity;

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

  /** 0 until a configuration is in force. */
  get revision(): number {
    return this.#follower.revision;
  }

  /** Undefined until a configuration is in force. */
  get index(): ConfigurationIndex | undefined {
    return this.#index;
  }

  run(signal: AbortSignal): Promise<void> {
    return this.#follower.run(signal);
  }

  /**
   * A peer said at `now`, in milliseconds, what it has in force. A newer set is
   * asked for, of one peer at a time: many have it at once, and it is large.
   */
  recordPeerRevision(
    peer: ConfigurationPeer,
    revision: number,
    now: number,
  ): void {
    if (revision <= this.revision) return;
    if (now - this.#askedAt < ASK_AGAIN_AFTER) return;
    this.#askedAt = now;
    peer.send({ type: "pullConfiguration", revision: this.revision });
  }

  /** Answers a peer's question, or takes in its answer. */
  handleMessage(peer: ConfigurationPeer, message: Message): void {
    if (message.type === "pullConfiguration") {
      this.#answer(peer, message.revision);
    } else if (message.type === "configuration") {
      this.#askedAt = -Infinity;
      this.#follower.receiveManifest(message.text);
    }
  }

  #answer(peer: ConfigurationPeer, revision: number): void {
    const snapshot = this.#follower.activeSnapshot;
    if (!snapshot || snapshot.revision <= revision) return;
    const { text } = snapshot;
    peer.send({ type: "configuration", revision: snapshot.revision, text });
  }
}
