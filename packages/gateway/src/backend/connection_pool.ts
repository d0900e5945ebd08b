/** Pool of idle connections to backend servers. @module */
import type { ResetDetection, ServerRecord } from "@sycamorepulley/decisions";
import { incarnationOf } from "@sycamorepulley/decisions";
import { Result } from "true-myth/result";
import {
  BackendConnection,
  isConnectionRefused,
} from "./backend_connection.ts";
import type { ConnectFailure } from "./backend_connection.ts";
import { ProcessWitness, WitnessConnection } from "@sycamorepulley/receiving";
import type { ConnectionState } from "@sycamorepulley/receiving";

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
  /** States of all open connections, by incarnation of the server. */
  readonly #open = new Map<string, Set<ConnectionState>>();
  readonly #witnesses = new Map<string, WitnessConnection>();
  readonly #clock: () => number;
  readonly #resetDetection: () => ResetDetection;

  /** `resetDetection`: whether resets are known to show on this machine. */
  constructor(clock: () => number, resetDetection: () => ResetDetection) {
    this.#clock = clock;
    this.#resetDetection = resetDetection;
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
        connection.state.isIdle = false;
        return Result.ok(connection);
      }
      connection.close();
    }
    const opened = await BackendConnection.open({
      host: server.host,
      port: server.port,
      timeout: CONNECT_TIMEOUT,
      now: this.#clock(),
      resetDetection: this.#resetDetection,
    });
    if (opened.isOk) this.#track(incarnationOf(server), opened.value);
    return opened;
  }

  /** Watches the server's process while it responds on `connection`. */
  watchProcess(
    server: ServerRecord,
    connection: BackendConnection,
  ): ProcessWitness {
    const incarnation = incarnationOf(server);
    const response = connection.state;
    const others = [...this.#open.get(incarnation) ?? []]
      .filter((state) => state !== response);
    return new ProcessWitness({
      response,
      others,
      connection: this.#witnessConnection(incarnation, server),
    });
  }

  #witnessConnection(
    incarnation: string,
    { host, port }: ServerRecord,
  ): WitnessConnection {
    for (const [name, { isUsed }] of this.#witnesses) {
      if (!isUsed) this.#witnesses.delete(name);
    }
    const connection = this.#witnesses.get(incarnation) ??
      new WitnessConnection({ host, port });
    this.#witnesses.set(incarnation, connection);
    return connection;
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

  #track(incarnation: string, connection: BackendConnection): void {
    const { state } = connection;
    const open = this.#open.get(incarnation) ?? new Set();
    this.#open.set(incarnation, open.add(state));
    connection.onceClosed(() => {
      open.delete(state);
      if (open.size === 0 && this.#open.get(incarnation) === open) {
        this.#open.delete(incarnation);
      }
    });
  }

  close(): void {
    for (const idle of this.#idle.values()) {
      for (const connection of idle) connection.close();
    }
    this.#idle.clear();
  }
}
