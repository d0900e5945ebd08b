/**
 * A link that another process opened to an entry: to learn the configuration
 * while the platform's service is down, or to report on a move it drives.
 * @module
 */
import { LinkError } from "@sycamorepulley/protocol";
import type { Message, OpenLink } from "@sycamorepulley/protocol";
import { monotonicNow } from "../common/clock.ts";
import type { ConfigurationKeeper } from "../common/configuration_keeper.ts";

/** Hears one peer for as long as its link lasts. */
export class PeerConnection {
  readonly #open: OpenLink;

  constructor(open: OpenLink) {
    this.#open = open;
  }

  send(message: Message): void {
    this.#open.link.send(message);
  }

  /** Runs until the link ends; the error that ended it, if any. */
  async run(
    configuration: ConfigurationKeeper,
    hear: (peer: PeerConnection, message: Message) => void,
  ): Promise<LinkError | undefined> {
    const { configurationRevision } = this.#open.peerHello;
    configuration.peerHas(this, configurationRevision, monotonicNow());
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
