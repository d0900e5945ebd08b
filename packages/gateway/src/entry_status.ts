/**
 * Status of this entry in the fleet: what it announces to its peers, and its
 * input to the choice of the granting entry.
 * @module
 */
import { totalShares } from "@sycamorepulley/decisions";
import type { GrantClient } from "./peers/grant_client.ts";
import type { FleetView } from "./peers/grant_client.ts";
import type { PeerStatus } from "./peers/peer_link.ts";
import type { Peers } from "./peers/peers.ts";
import { encodeRollout } from "./rollouts/rollout_message.ts";
import { processorCapacity } from "./settings.ts";
import type { GatewaySettings } from "./settings.ts";
import type { FleetState } from "./state/fleet_state.ts";
import type { EntryRegistration } from "./state/entry_registration.ts";
import type { StoreContact } from "./state/store_contact.ts";

/** Sources of the status. */
export type EntryStatusOptions = {
  settings: () => GatewaySettings;
  isDraining: () => boolean;
  state: FleetState;
  peers: Peers;
  grantClient: GrantClient;
  registration: EntryRegistration;
  storeContact: StoreContact;
  clock: () => number;
};

/** Computes the status of this entry and updates its group. */
export class EntryStatus {
  readonly #options: EntryStatusOptions;

  constructor(options: EntryStatusOptions) {
    this.#options = options;
  }

  /** The status that heartbeats announce. */
  ownStatus(): PeerStatus {
    const { state, grantClient, storeContact } = this.#options;
    const { processors, leaving, listed } = this.#ownEntry();
    const { version, position } = state.publishedConfiguration;
    const servers = state.directory.position;
    return {
      configurationRevision: position.revision,
      configurationVersion: version,
      configurationConfirmed: state.configurationConfirmed,
      serverRevision: servers.era === (storeContact.era ?? 0)
        ? servers.revision
        : 0,
      storeEra: storeContact.era,
      storeContactAge: storeContact.age,
      leaving,
      processors,
      listed,
      asks: grantClient.grantingEntry,
      shares: this.totalShares(),
      leavingServers: state.directory.leavingUnrecorded(),
      evacuations: state.evacuations.changes()
        .map(({ position, ...change }) => ({ ...change, ...position })),
      rollouts: state.rollouts.statements(this.#options.clock())
        .map(encodeRollout),
    };
  }

  /** Total shares of all entries, as far as this one knows. */
  totalShares(): number {
    const { state, peers, clock } = this.#options;
    const reachable = [...peers.entries(), this.#ownEntry()]
      .map(({ name, listed }) => ({ name, listed, asksThisEntry: false }));
    const shares = state.membershipList.shares(clock());
    return totalShares({ reachable, shares });
  }

  /** Updates the granting entry, and the fractions that are granted here. */
  updateGroup(): void {
    const { state, peers, grantClient, clock } = this.#options;
    const reported = peers.statuses().map(({ shares }) => shares);
    grantClient.updateGroup({
      peers: peers.entries(),
      self: this.#ownEntry(),
      shares: state.membershipList.shares(clock()),
      reportedTotalShares: Math.max(0, ...reported),
    });
  }

  #ownEntry(): FleetView["self"] {
    const { settings, isDraining } = this.#options;
    return {
      name: settings().instance,
      processors: processorCapacity(settings()),
      leaving: isDraining(),
      listed: this.#isListed(),
    };
  }

  #isListed(): boolean {
    const { settings, state, registration, clock } = this.#options;
    const isRegistered = state.members.has(settings().instance);
    return registration.isCounted(clock(), isRegistered);
  }
}
