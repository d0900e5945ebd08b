/**
 * Bounds the number of open connections, and decides which one is closed for
 * another.
 *
 * Load condition addressed: clients that nobody controls open connections and
 * send nothing, or never finish what they send. Refusing new connections would
 * keep ordinary callers out for as long as those clients stay.
 * @module
 */

/**
 * What a connection is used for: `unused` before its first request, `idle`
 * between requests, `receiving` until a request is whole, then `serving`.
 */
type ConnectionUse = "unused" | "idle" | "receiving" | "serving";

/** Uses in which a connection may be closed for another one, first to last. */
const CLOSED_FIRST = ["unused", "idle", "receiving"] as const;

/** Knows the open connections of callers and what they are used for. */
export class ConnectionLimit<Connection> {
  readonly #maximum: number;
  readonly #uses = new Map<Connection, ConnectionUse>();
  /** Connections of each use, those that are in it for longest first. */
  readonly #byUse = {
    unused: new Set<Connection>(),
    idle: new Set<Connection>(),
    receiving: new Set<Connection>(),
    serving: new Set<Connection>(),
  };

  constructor(maximum: number) {
    this.#maximum = maximum;
  }

  /**
   * Adds a new connection. Returns one to close if there are too many, which may
   * be the new one; it counts until it is removed.
   */
  add(connection: Connection): Connection | undefined {
    this.#setUse(connection, "unused");
    if (this.#uses.size <= this.#maximum) return undefined;
    for (const use of CLOSED_FIRST) {
      for (const candidate of this.#byUse[use]) {
        if (candidate !== connection) return candidate;
      }
    }
    return connection;
  }

  /** Records that the head of a request has arrived. */
  recordHead(connection: Connection): void {
    const use = this.#uses.get(connection);
    if (use === undefined || use === "serving") return;
    this.#setUse(connection, "receiving");
  }

  /** Records that a whole request has arrived. */
  recordRequest(connection: Connection): void {
    if (this.#uses.has(connection)) this.#setUse(connection, "serving");
  }

  /** Records that no request is open any more. */
  recordIdle(connection: Connection): void {
    if (this.#uses.has(connection)) this.#setUse(connection, "idle");
  }

  remove(connection: Connection): void {
    const use = this.#uses.get(connection);
    if (use !== undefined) this.#byUse[use].delete(connection);
    this.#uses.delete(connection);
  }

  #setUse(connection: Connection, use: ConnectionUse): void {
    this.remove(connection);
    this.#uses.set(connection, use);
    this.#byUse[use].add(connection);
  }
}

/** Descriptors of a process that are not for connections. */
const FILE_DESCRIPTORS = 200;
/** The part of the others that is for callers, beside servers and entries. */
const CALLER_FRACTION = 0.75;
/** Bytes of memory that a connection needs with a request that arrives. */
const CONNECTION_BYTES = 16 * 1024;
/** The part of the memory of a process that is for connections. */
const CONNECTION_MEMORY_FRACTION = 0.25;
const MINIMUM_CONNECTIONS = 16;

/** What a process may use; `memory` in bytes. */
export type ProcessLimits = { descriptors: number; memory: number };

/** Largest number of connections of callers within the limits of a process. */
export function callerConnections(
  { descriptors, memory }: ProcessLimits,
): number {
  const byDescriptors = (descriptors - FILE_DESCRIPTORS) * CALLER_FRACTION;
  return Math.max(
    MINIMUM_CONNECTIONS,
    Math.floor(Math.min(byDescriptors, connectionsIn(memory))),
  );
}

/** Number of connections for which the memory of a process is enough. */
export function connectionsIn(memory: number): number {
  return Math.floor(memory * CONNECTION_MEMORY_FRACTION / CONNECTION_BYTES);
}
