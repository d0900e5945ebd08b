/**
 * A link that another process opened to an entry, to learn the configuration
 * while the platform's service is down.
 * @module
 */
import { LinkError } from "@sycamorepulley/protocol";
import type { Message, OpenLink } from "@sycamorepulley/protocol";
import type { ConfigurationKeeper } from "../common/configuration_keeper.ts";

/** Serves configuration messages over one link. */
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
  ): Promise<LinkError | undefined> {
    configuration.peerHas(this, this.#open.peerHello.configurationRevision);
    try {
      for await (const message of this.#open.messages) {
        configuration.onMessage(this, message);
      }
      return undefined;
    } catch (error) {
      if (error instanceof LinkError) return error;
      throw error;
    }
  }
}
