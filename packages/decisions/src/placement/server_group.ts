/** The backend servers of one version, grouped by distance. @module */
import type { BackendServer } from "./backend_server.ts";
import { BoundedSubset } from "./bounded_subset.ts";
import { HashRing } from "./hash_ring.ts";
import type { HashText } from "./hash_text.ts";

/**
 * One bounded subset for each distance and a hash ring over the entry's region.
 */
export class ServerGroup {
  readonly subsets: readonly [BoundedSubset, BoundedSubset, BoundedSubset];
  /**
   * Covers the whole region rather than the data centre: a hop of 1-2 ms costs
   * less than prefilling a prefix that another data centre has cached.
   */
  readonly ring: HashRing;

  constructor(
    options: { sizes: readonly [number, number, number]; hash: HashText },
  ) {
    const [own, region, other] = options.sizes;
    this.subsets = [
      new BoundedSubset(own),
      new BoundedSubset(region),
      new BoundedSubset(other),
    ];
    this.ring = new HashRing(options.hash);
  }

  get count(): number {
    return this.subsets.reduce((sum, subset) => sum + subset.count, 0);
  }

  add(server: BackendServer): void {
    this.subsets[server.distance].add(server);
    if (server.distance < 2) this.ring.add(server);
  }

  delete(server: BackendServer): void {
    this.subsets[server.distance].delete(server);
    if (server.distance < 2) this.ring.delete(server);
  }
}
