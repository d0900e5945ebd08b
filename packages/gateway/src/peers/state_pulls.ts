/** What makes one kind of state newer than another of its kind. @module */
import { isLater, StatePull } from "@sycamorepulley/decisions";
import type { StatePosition } from "@sycamorepulley/decisions";

/**
 * Configurations are ordered by their version, which rises across restores of
 * the store. Entries of earlier versions state a revision only.
 */
export class ConfigurationPull extends StatePull {
  override isNewer(position: StatePosition, other: StatePosition): boolean {
    if (position.version === undefined || other.version === undefined) {
      return position.revision > other.revision;
    }
    return position.version > other.version;
  }
}

/** Views of the servers are ordered by their position in the store's history. */
export class ServerPull extends StatePull {
  override isNewer(position: StatePosition, other: StatePosition): boolean {
    return isLater(position, other);
  }
}
