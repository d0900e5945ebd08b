import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Maximum bytes in transit on one connection. */
const WINDOW = 64 * 1024;

/** Relays connections to one port, with one bandwidth for all of them. */
export class SlowLink {
  /** Bytes relayed to the port. */
  relayedBytes = 0;
  readonly #bytesPerSecond: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #freeAt = 0;

  constructor(bytesPerSecond: number, port: () => number) {
    this.#bytesPerSecond = bytesPerSecond;
    this.#server = createServer((near) => {
      const far = connect({ host: "127.0.0.1", port: port() });
      for (const socket of [near, far]) {
        this.#sockets.add(socket);
        socket.on("error", () => {});
      }
      near.on("close", () => far.destroy());
      far.on("close", () => near.destroy());
      far.pipe(near);
      void this.#relay(near, far);
    });
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    return (this.#server.address() as AddressInfo).port;
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #relay(near: Socket, far: Socket): Promise<void> {
    const chunks = near[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    for (;;) {
      const next = await chunks.next().catch(() => undefined);
      if (next === undefined || next.done) return;
      for (let from = 0; from < next.value.length; from += WINDOW) {
        const part = next.value.subarray(from, from + WINDOW);
        await this.#waitForBandwidth(part.length);
        if (!far.writable) return;
        far.write(part);
        this.relayedBytes += part.length;
      }
    }
  }

  /** Waits until the link has transmitted these bytes after earlier ones. */
  async #waitForBandwidth(bytes: number): Promise<void> {
    const now = performance.now();
    this.#freeAt = Math.max(now, this.#freeAt) +
      bytes / this.#bytesPerSecond * 1000;
    await sleep(this.#freeAt - now);
  }
}
