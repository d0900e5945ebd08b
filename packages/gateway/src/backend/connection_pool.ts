/** Pool of idle connections to backend servers. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import { incarnationOf } from "@sycamorepulley/decisions";
import { Result } from "true-myth/result";
import {
  BackendConnection,
  isConnectionRefused,
} from "./backend_connection.ts";
import type { ConnectFailure } from "./backend_connection.ts";

/**
 * Milliseconds until an attempt to connect times out. Data centres are 1.4 ms
 * apart, and callers wait 0.3 s for a first token. The kernel resends a lost
 * first packet only after a second, so waiting for it would not help.
 */
const CONNECT_TIMEOUT = 300;
/**
 * The same for finding out whether a server has crashed, which a caller waits
 * for. A crashed server refuses immediately.
 */
const DIAGNOSIS_TIMEOUT = 100;

/** Keeps idle connections for later requests, by incarnation of the server. */
export class ConnectionPool {
  readonly #idle = new Map<string, BackendConnection[]>();
  readonly #clock: () => number;

  constructor(clock: () => number) {
    this.#clock = clock;
  }

  /**
   * Takes an idle connection, or opens a new one. `strict`: the request must
   * not be repeated, so a connection that the server could be closing at this
   * moment is not used.
   */
  async acquire(
    server: ServerRecord,
    strict: boolean,
  ): Promise<Result<BackendConnection, ConnectFailure>> {
    const idle = this.#idle.get(incarnationOf(server)) ?? [];
    for (;;) {
      const connection = idle.pop();
      if (connection === undefined) break;
      if (connection.isUsable(this.#clock(), strict)) {
        return Result.ok(connection);
      }
      connection.close();
    }
    return await BackendConnection.open({
      host: server.host,
      port: server.port,
      timeout: CONNECT_TIMEOUT,
      now: this.#clock(),
    });
  }

  /**
   * Resolves to true if the server refuses new connections: after a broken one
   * it has crashed.
   */
  isRefusing({ host, port }: ServerRecord): Promise<boolean> {
    return isConnectionRefused({ host, port, timeout: DIAGNOSIS_TIMEOUT });
  }

  /** Returns a connection to the pool after a complete response. */
  release(server: ServerRecord, connection: BackendConnection): void {
    const now = this.#clock();
    connection.markIdle(now);
    const incarnation = incarnationOf(server);
    const idle = this.#idle.get(incarnation) ?? [];
    if (idle.length >= server.slots || !connection.isUsable(now, false)) {
      connection.close();
      return;
    }
    idle.push(connection);
    this.#idle.set(incarnation, idle);
  }

  /**
   * Closes connections that have been idle for too long, and those to servers
   * that are not in `servers`.
   */
  closeStale(servers: readonly ServerRecord[]): void {
    const now = this.#clock();
    const known = new Set(servers.map(incarnationOf));
    for (const [incarnation, idle] of this.#idle) {
      const kept = idle.filter((connection) =>
        known.has(incarnation) && connection.isUsable(now, false)
      );
      for (const connection of idle) {
        if (!kept.includes(connection)) connection.close();
      }
      if (kept.length === 0) this.#idle.delete(incarnation);
      else this.#idle.set(incarnation, kept);
    }
  }

  close(): void {
    for (const idle of this.#idle.values()) {
      for (const connection of idle) connection.close();
    }
    this.#idle.clear();
  }
}
