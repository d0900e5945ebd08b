/**
 * How this entry stands in the fleet: what it tells the others of itself, and
 * from which shares it grants.
 * @module
 */
import { totalShares } from "@sycamorepulley/decisions";
import type { GrantClient } from "./peers/grant_client.ts";
import type { FleetView } from "./peers/grant_client.ts";
import type { PeerStanding } from "./peers/peer_link.ts";
import type { Peers } from "./peers/peers.ts";
import { processorsOf } from "./settings.ts";
import type { GatewaySettings } from "./settings.ts";
import type { FleetState } from "./state/fleet_state.ts";
import type { Membership } from "./state/membership.ts";

/** What the standing is worked out from. */
export type FleetStandingParts = {
  settings: () => GatewaySettings;
  /** This entry no longer grants. */
  leaving: () => boolean;
  state: FleetState;
  peers: Peers;
  granter: GrantClient;
  membership: Membership;
  clock: () => number;
};

/** See the module. */
export class FleetStanding {
  readonly #parts: FleetStandingParts;

  constructor(parts: FleetStandingParts) {
    this.#parts = parts;
  }

  /** What the others are told. */
  toTell(): PeerStanding {
    const { state, granter } = this.#parts;
    const { processors, leaving, listed } = this.#self();
    return {
      configurationRevision: state.published.revision,
      configurationConfirmed: state.configurationConfirmed,
      serverRevision: state.directory.revision,
      leaving,
      processors,
      listed,
      asks: granter.granting,
      shares: this.shares(),
    };
  }

  /** Shares that all entries have together, as far as this one knows. */
  shares(): number {
    const { state, peers, clock } = this.#parts;
    const present = [...peers.entries(), this.#self()]
      .map(({ name, listed }) => ({ name, listed, asksThisEntry: false }));
    const shares = state.roll.shares(clock());
    return totalShares({ present, shares });
  }

  /** Works out anew who grants, and from which parts. */
  regroup(): void {
    const { state, peers, granter, clock } = this.#parts;
    const stated = peers.standings().map(({ shares }) => shares);
    granter.regroup({
      peers: peers.entries(),
      self: this.#self(),
      shares: state.roll.shares(clock()),
      stated: Math.max(0, ...stated),
    });
  }

  #self(): FleetView["self"] {
    const { settings, leaving } = this.#parts;
    return {
      name: settings().instance,
      processors: processorsOf(settings()),
      leaving: leaving(),
      listed: this.#listed(),
    };
  }

  #listed(): boolean {
    const { settings, state, membership, clock } = this.#parts;
    const named = state.members.has(settings().instance);
    return membership.counted(clock(), named);
  }
}
