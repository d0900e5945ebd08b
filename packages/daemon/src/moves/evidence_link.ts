/** An entry's link to the driver of a move. @module */
import * as v from "valibot";
import { openLink } from "@sycamorepulley/protocol";
import type { HelloMessage, Link, Message } from "@sycamorepulley/protocol";

const OPEN_TIMEOUT = 1000;

const addressSchema = v.object({
  instance: v.string(),
  host: v.string(),
  port: v.number(),
});

/** Opened on demand; opened again when the driver changes. */
export class EvidenceLink {
  readonly #hello: () => HelloMessage;
  #address = "";
  #link: Link | undefined;

  constructor(hello: () => HelloMessage) {
    this.#hello = hello;
  }

  /** Sends to the driver at `address`, as its lease states it. */
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
    const hello = this.#hello();
    const opened = await openLink({ host, port, hello, timeout: OPEN_TIMEOUT });
    if (opened.isErr) return;
    this.#address = address;
    this.#link = opened.value.link;
    void drain(opened.value.messages);
  }
}

/** Nothing is expected; reading notices when the driver is gone. */
async function drain(messages: AsyncGenerator<Message, void>): Promise<void> {
  try {
    for await (const _ of messages);
  } catch {
    // The link is closed; the next send opens another.
  }
}
