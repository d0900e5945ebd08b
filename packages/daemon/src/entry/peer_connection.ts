/**
 * A link that another process opened to an entry: to learn the configuration
 * while the platform's service is down, or to report on a move it drives.
 * @module
 */
import { LinkError } from "@sycamorepulley/protocol";
import type { EstablishedLink, Message } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { ConfigurationSync } from "../common/configuration_sync.ts";

/** Hears one peer for as long as its link lasts. */
export class PeerConnection {
  readonly #open: EstablishedLink;

  constructor(open: EstablishedLink) {
    this.#open = open;
  }

  send(message: Message): void {
    this.#open.link.send(message);
  }

  /** Runs until the link ends; the error that ended it, if any. */
  async run(
    configuration: ConfigurationSync,
    hear: (peer: PeerConnection, message: Message) => void,
  ): Promise<LinkError | undefined> {
    const { configurationRevision } = this.#open.peerHello;
    configuration.recordPeerRevision(
      this,
      configurationRevision,
      monotonicNow(),
    );
    try {
      for await (const message of this.#open.messages) {
        hear(this, message);
      }
      return undefined;
    } catch (error) {
      if (error instanceof LinkError) return error;
      throw error;
    }
  }
}
