/**
 * Reserves quota tokens for requests that are waiting for a larger balance.
 *
 * When an organisation exceeds its quota, small requests consume each token as
 * the bucket refills, and a large request never finds enough. To prevent this
 * starvation, incoming tokens are reserved for the first request in queue order
 * that finds the balance too low. Other requests of the organisation are
 * charged only if the balance covers them in addition to the reservation.
 * @module
 */
import type { OrganisationQuotas } from "../quotas/mod.ts";
import type { GrantRequest } from "./grant_request.ts";

/**
 * Quota reservations in the queue of one service, at most one per organisation.
 */
export class QuotaReservations {
  readonly #quotas: OrganisationQuotas;
  /** The request that holds the reservation, by organisation. */
  readonly #holders = new Map<string, GrantRequest>();

  constructor(quotas: OrganisationQuotas) {
    this.#quotas = quotas;
  }

  /**
   * True if the request can be charged now. Otherwise reserves the
   * organisation's tokens for it, unless another request already holds the
   * reservation.
   */
  allows(request: GrantRequest, now: number): boolean {
    const { organisation, charge } = request;
    const holder = this.#holders.get(organisation) ?? request;
    const needed = holder.id === request.id ? charge : charge + holder.charge;
    if (this.#quotas.allows(organisation, needed, now)) return true;
    this.#holders.set(organisation, holder);
    return false;
  }

  /** Releases the organisation's reservation if this request holds it. */
  release(request: GrantRequest): void {
    if (this.#holders.get(request.organisation)?.id !== request.id) return;
    this.#holders.delete(request.organisation);
  }
}
