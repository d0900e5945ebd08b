/** The link on which an entry sends its evidence to a move's driver. @module */
import * as v from "valibot";
import { openLink } from "@sycamorepulley/protocol";
import type { HelloMessage, Link, Message } from "@sycamorepulley/protocol";

/** Milliseconds within which the link must be open. */
const OPEN_TIMEOUT = 1000;

const addressSchema = v.object({
  instance: v.string(),
  host: v.string(),
  port: v.number(),
});

/**
 * Opens the link when there is something to send, and opens a new one when the
 * driver has changed or the link was closed.
 */
export class EvidenceLink {
  readonly #createHello: () => HelloMessage;
  #address = "";
  #link: Link | undefined;

  constructor(createHello: () => HelloMessage) {
    this.#createHello = createHello;
  }

  /** Sends a message to the driver; `address` is the value of its key. */
  async send(address: string, message: Message): Promise<void> {
    if (address !== this.#address || this.#link?.closed !== false) {
      await this.#open(address);
    }
    this.#link?.send(message);
  }

  close(): void {
    this.#link?.end();
  }

  async #open(address: string): Promise<void> {
    this.close();
    this.#link = undefined;
    const parsed = v.safeParse(addressSchema, JSON.parse(address));
    if (!parsed.success) return;
    const { host, port } = parsed.output;
    const hello = this.#createHello();
    const opened = await openLink({ host, port, hello, timeout: OPEN_TIMEOUT });
    if (opened.isErr) return;
    this.#address = address;
    this.#link = opened.value.link;
    void discardMessages(opened.value.messages);
  }
}

/**
 * Reads and discards messages. The driver sends none, but reading detects that
 * the link has been closed.
 */
async function discardMessages(
  messages: AsyncGenerator<Message, void>,
): Promise<void> {
  try {
    for await (const _ of messages);
  } catch {
    // The link is closed; the next message opens another.
  }
}
