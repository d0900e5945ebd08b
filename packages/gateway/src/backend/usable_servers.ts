/** The backend servers that may be sent work, by their starts. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type { ServerDirectory, ServerRecord } from "@sycamorepulley/decisions";

/** See the module. */
export class UsableServers {
  readonly #directory: ServerDirectory;
  readonly #servers = new Map<string, ServerRecord>();

  constructor(directory: ServerDirectory) {
    this.#directory = directory;
  }

  /** Takes over what the directory says now; the result is all of them. */
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

  /** The server as it is registered now; `undefined` once it may not be used. */
  find(incarnation: string): ServerRecord | undefined {
    const record = this.#servers.get(incarnation);
    return record && this.#directory.mayUse(record) ? record : undefined;
  }
}
