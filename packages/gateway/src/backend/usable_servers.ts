/** The backend servers that may be sent requests. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type { ServerDirectory, ServerRecord } from "@sycamorepulley/decisions";

/** Caches the usable servers of a directory by their incarnations. */
export class UsableServers {
  readonly #directory: ServerDirectory;
  readonly #servers = new Map<string, ServerRecord>();

  constructor(directory: ServerDirectory) {
    this.#directory = directory;
  }

  /** Reloads the usable servers from the directory, and returns them. */
  refresh(now: number): ServerRecord[] {
    const usable = this.#directory.usable(now);
    this.#servers.clear();
    for (const record of usable) {
      this.#servers.set(incarnationOf(record), record);
    }
    return usable;
  }

  all(): ServerRecord[] {
    return [...this.#servers.values()];
  }

  /** The current record of a server; `undefined` if it may not be used. */
  find(incarnation: string): ServerRecord | undefined {
    const record = this.#servers.get(incarnation);
    return record && this.#directory.isUsable(record) ? record : undefined;
  }
}
