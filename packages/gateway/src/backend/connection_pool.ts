/** Idle connections to backend servers, by start of the server. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import { incarnationOf } from "@sycamorepulley/decisions";
import { Result } from "true-myth/result";
import { BackendConnection } from "./backend_connection.ts";
import type { ConnectFailure } from "./backend_connection.ts";

/**
 * Milliseconds until an unanswered connect counts as failed. Data centres are
 * 1.4 ms apart; a lost first packet is sent again by the kernel after a second
 * only, and callers wait 0.3 s for a first token.
 */
const CONNECT_TIMEOUT = 300;

/** Keeps connections for the next request. */
export class ConnectionPool {
  readonly #idle = new Map<string, BackendConnection[]>();
  readonly #clock: () => number;

  constructor(clock: () => number) {
    this.#clock = clock;
  }

  /**
   * A connection that nothing was sent on since it was last idle. `strict`: the
   * request may not be repeated, so a connection that the server could be
   * closing at this moment is not used.
   */
  async acquire(
    server: ServerRecord,
    strict: boolean,
  ): Promise<Result<BackendConnection, ConnectFailure>> {
    const idle = this.#idle.get(incarnationOf(server)) ?? [];
    for (;;) {
      const channel = idle.pop();
      if (channel === undefined) break;
      if (channel.isUsable(this.#clock(), strict)) return Result.ok(channel);
      channel.close();
    }
    return await BackendConnection.open({
      host: server.host,
      port: server.port,
      timeout: CONNECT_TIMEOUT,
      now: this.#clock(),
    });
  }

  /** Keeps a connection whose last answer was whole. */
  release(server: ServerRecord, channel: BackendConnection): void {
    const now = this.#clock();
    channel.markIdle(now);
    const name = incarnationOf(server);
    const idle = this.#idle.get(name) ?? [];
    if (idle.length >= server.slots || !channel.isUsable(now, false)) {
      channel.close();
      return;
    }
    idle.push(channel);
    this.#idle.set(name, idle);
  }

  /** Closes connections that have been idle too long, and those of servers gone. */
  closeStale(servers: readonly ServerRecord[]): void {
    const now = this.#clock();
    const known = new Set(servers.map(incarnationOf));
    for (const [name, idle] of this.#idle) {
      const kept = idle.filter((channel) =>
        known.has(name) && channel.isUsable(now, false)
      );
      for (const channel of idle) {
        if (!kept.includes(channel)) channel.close();
      }
      if (kept.length === 0) this.#idle.delete(name);
      else this.#idle.set(name, kept);
    }
  }

  close(): void {
    for (const idle of this.#idle.values()) {
      for (const channel of idle) channel.close();
    }
    this.#idle.clear();
  }
}
