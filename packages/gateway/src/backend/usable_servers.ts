/** The backend servers that may be sent requests. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type { VersionFilter } from "../rollouts/version_filter.ts";
import type {
  Evacuations,
  ServerDirectory,
  ServerRecord,
} from "@sycamorepulley/decisions";

/**
 * Caches the usable servers of a directory by their incarnations, outside
 * evacuated data centres and of versions that may be used.
 */
export class UsableServers {
  readonly #directory: ServerDirectory;
  readonly #evacuations: Evacuations;
  readonly #versions: VersionFilter;
  readonly #servers = new Map<string, ServerRecord>();

  constructor(options: {
    directory: ServerDirectory;
    evacuations: Evacuations;
    versions: VersionFilter;
  }) {
    this.#directory = options.directory;
    this.#evacuations = options.evacuations;
    this.#versions = options.versions;
  }

  /** Reloads the usable servers from the directory, and returns them. */
  refresh(now: number): ServerRecord[] {
    const usable = this.#versions.select(
      this.#directory.usable(now)
        .filter(({ dataCentre }) => !this.#evacuations.isEvacuated(dataCentre)),
    );
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
    if (record === undefined || !this.#directory.isUsable(record)) {
      return undefined;
    }
    return this.#evacuations.isEvacuated(record.dataCentre)
      ? undefined
      : record;
  }
}
