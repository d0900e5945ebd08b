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

/** Options of {@link ConfigurationKeeper}. */
export type ConfigurationKeeperOptions = {
  store: KeyValueStore;
  fleetSize: number;
  random: () => number;
  metrics: Metrics;
  log: Log;
};

/** Follows the published set; answers and asks peers about it. */
export class ConfigurationKeeper {
  readonly #follower: ConfigurationFollower;
  readonly #options: ConfigurationKeeperOptions;
  #index: ConfigurationIndex | undefined;

  constructor(options: ConfigurationKeeperOptions) {
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

  /** A peer said what it has in force; a newer set is asked for. */
  peerHas(peer: ConfigurationPeer, revision: number): void {
    if (revision <= this.revision) return;
    peer.send({ type: "pullConfiguration", revision: this.revision });
  }

  /** Answers a peer's question, or takes in its answer. */
  onMessage(peer: ConfigurationPeer, message: Message): void {
    if (message.type === "pullConfiguration") {
      this.#answer(peer, message.revision);
    } else if (message.type === "configuration") {
      this.#follower.offer(message.text);
    }
  }

  #answer(peer: ConfigurationPeer, revision: number): void {
    const snapshot = this.#follower.inForce;
    if (!snapshot || snapshot.revision <= revision) return;
    const { text } = snapshot;
    peer.send({ type: "configuration", revision: snapshot.revision, text });
  }
}
