/**
 * Reserves quota tokens for requests that are waiting for a larger balance.
 *
 * When an organisation exceeds its quota, small requests consume each token as
 * the bucket refills, and a large request never finds enough. To prevent this
 * starvation, incoming tokens are reserved for the first ask in queue order that
 * finds the balance too low. Other asks of the organisation are charged only if
 * the balance covers them in addition to the reservation.
 * @module
 */
import type { OrganisationQuotas } from "../quotas/mod.ts";
import type { GrantRequest } from "./grant_request.ts";

/** Quota reservations in the queue of one service, at most one per organisation. */
export class QuotaReservations {
  readonly #quotas: OrganisationQuotas;
  /** The ask that holds the reservation, by organisation. */
  readonly #holders = new Map<string, GrantRequest>();

  constructor(quotas: OrganisationQuotas) {
    this.#quotas = quotas;
  }

  /**
   * True if the ask can be charged now. Otherwise reserves the organisation's
   * tokens for it, unless another ask already holds the reservation.
   */
  allows(ask: GrantRequest, now: number): boolean {
    const { organisation, charge } = ask;
    const holder = this.#holders.get(organisation) ?? ask;
    const needed = holder.id === ask.id ? charge : charge + holder.charge;
    if (this.#quotas.allows(organisation, needed, now)) return true;
    this.#holders.set(organisation, holder);
    return false;
  }

  /** Releases the organisation's reservation if this ask holds it. */
  release(ask: GrantRequest): void {
    if (this.#holders.get(ask.organisation)?.id !== ask.id) return;
    this.#holders.delete(ask.organisation);
  }
}
