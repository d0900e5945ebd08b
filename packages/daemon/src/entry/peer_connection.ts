/**
 * A link that another process opened to this entry: to get the configuration
 * while the platform's key-value service is unavailable, or to send evidence
 * for a move that this entry drives.
 * @module
 */
import { LinkError } from "@sycamorepulley/protocol";
import type { EstablishedLink, Message } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { ConfigurationSync } from "../common/configuration_sync.ts";

/** Receives one peer's messages until its link ends. */
export class PeerConnection {
  readonly #establishedLink: EstablishedLink;

  constructor(establishedLink: EstablishedLink) {
    this.#establishedLink = establishedLink;
  }

  send(message: Message): void {
    this.#establishedLink.link.send(message);
  }

  /** Resolves when the link ends, with the error that ended it, if any. */
  async run(
    configuration: ConfigurationSync,
    handleMessage: (peer: PeerConnection, message: Message) => void,
  ): Promise<LinkError | undefined> {
    const { configurationRevision } = this.#establishedLink.peerHello;
    configuration.recordPeerRevision(
      this,
      configurationRevision,
      monotonicNow(),
    );
    try {
      for await (const message of this.#establishedLink.messages) {
        handleMessage(this, message);
      }
      return undefined;
    } catch (error) {
      if (error instanceof LinkError) return error;
      throw error;
    }
  }
}
