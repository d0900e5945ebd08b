/** One connection to another entry, dialled or accepted. @module */
import type { Socket } from "node:net";
import { Link } from "@sycamorepulley/protocol";
import { peerMessageSchema } from "./messages.ts";
import type { PeerMessage } from "./messages.ts";

/** Largest frame: a configuration of a thousand routes, several times over. */
const MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

/** A peer's last word on itself. */
export type PeerStanding = {
  configurationRevision: number;
  /** The store has told it of that revision, and answers. */
  configurationConfirmed: boolean;
  serverRevision: number;
  leaving: boolean;
  /** The entry that it asks for servers. */
  asks: string;
  /** Shares that all entries have together, as it counts them. */
  shares: number;
  /** Of its instance, in cores. */
  processors: number;
  listed: boolean;
};

/** See the module. */
export class PeerLink {
  readonly #link: Link<PeerMessage>;
  /** This side opened it. */
  readonly dialled: boolean;
  heardAt: number;
  instance: string | undefined;
  incarnation = "";
  /** Why this side closed it; empty while it did not. */
  closedFor = "";
  standing: PeerStanding | undefined;

  constructor(socket: Socket, dialled: boolean, now: number) {
    this.dialled = dialled;
    this.heardAt = now;
    this.#link = new Link<PeerMessage>({
      socket,
      maximumFrameBytes: MAXIMUM_FRAME_BYTES,
      schema: peerMessageSchema,
    });
  }

  get peer(): string {
    return this.instance ?? this.#link.peer;
  }

  send(message: PeerMessage): void {
    this.#link.send(message);
  }

  messages(): AsyncGenerator<PeerMessage, void> {
    return this.#link.receive();
  }

  close(reason: string): void {
    this.closedFor = reason;
    this.#link.close();
  }
}
