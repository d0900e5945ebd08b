/**
 * Divides the grants of each tier of a service between organisations while slots
 * are short, by slot time and in proportion to their weights.
 *
 * Load condition addressed: one organisation floods the service while others
 * send their usual demand. Ordered by value per slot time alone, the short
 * requests of the flood come before all longer requests of the others.
 *
 * Implements start-time fair queueing (Goyal et al. 1996): each organisation
 * has a start tag, which each grant advances by its slot time divided by the
 * weight of the organisation, and virtual time
 * is the smallest start tag of the organisations with waiting requests. An
 * organisation that starts to wait gets at least virtual time as its start tag,
 * so what it did not use before was lent to the others and is not owed to it.
 * The requests of all organisations whose start tags are close enough to
 * virtual time are granted by value; see {@link TOLERATED_TIME}. An
 * organisation further ahead waits until the others have caught up.
 * @module
 */
import { IndexedHeap, OUTSIDE_HEAP } from "../queueing/indexed_heap.ts";
import type { HeapItem } from "../queueing/indexed_heap.ts";
import type { GrantRequest } from "./grant_request.ts";
import { nominalSlotTime } from "./latency_ratio.ts";

/**
 * Milliseconds in which all slots together do the work by which an organisation
 * may be ahead of others that wait. Whenever those stop waiting and start again,
 * a flood may take this lead once more, so it has to be a small part of the
 * 150 ms in which callers expect the fastest responses. With no lead at all, the
 * order by value would rarely decide between requests of 200 organisations.
 */
const TOLERATED_TIME = 20;

/** Is told when an organisation becomes entitled to grants, or ceases to be. */
export type EntitlementObserver = { updateEntitlement(): void };

/** Account of one organisation in one tier; `key` is its start tag. */
export class ShareAccount implements HeapItem {
  key: number;
  heapIndex = OUTSIDE_HEAP;
  /** False while the organisation is too far ahead of others that wait. */
  isEntitled = true;
  /** Number of waiting requests. */
  waiting = 0;
  readonly observers = new Set<EntitlementObserver>();

  constructor(startTag: number) {
    this.key = startTag;
  }
}

/** Accounts of the organisations of one tier. */
class TierShares {
  readonly #accounts = new Map<string, ShareAccount>();
  /** Organisations with waiting requests, by start tag. */
  readonly #entitled = new IndexedHeap<ShareAccount>();
  readonly #ahead = new IndexedHeap<ShareAccount>();
  #virtualTime = 0;
  #toleratedLead: number;

  /** `toleratedLead`: slot time, see {@link TOLERATED_TIME}. */
  constructor(toleratedLead: number) {
    this.#toleratedLead = toleratedLead;
  }

  setToleratedLead(slotTime: number): void {
    this.#toleratedLead = slotTime;
    this.#advance();
  }

  accountOf(organisation: string): ShareAccount {
    let account = this.#accounts.get(organisation);
    if (account === undefined) {
      account = new ShareAccount(this.#virtualTime);
      this.#accounts.set(organisation, account);
    }
    return account;
  }

  add(account: ShareAccount): void {
    account.waiting++;
    if (account.waiting > 1) return;
    account.key = Math.max(account.key, this.#virtualTime);
    this.#entitled.push(account);
    this.#update(account);
  }

  remove(account: ShareAccount): void {
    account.waiting--;
    if (account.waiting > 0) return;
    this.#heapOf(account).remove(account);
    setEntitled(account, true);
    this.#advance();
  }

  charge(account: ShareAccount, slotTime: number): void {
    account.key += slotTime;
    if (account.waiting > 0) this.#update(account);
  }

  isWaiting(organisation: string): boolean {
    return (this.#accounts.get(organisation)?.waiting ?? 0) > 0;
  }

  /** Makes all organisations equal again if none has waiting requests. */
  resetIfIdle(): void {
    if (this.#entitled.size + this.#ahead.size > 0) return;
    this.#accounts.clear();
    this.#virtualTime = 0;
  }

  #heapOf(account: ShareAccount): IndexedHeap<ShareAccount> {
    return account.isEntitled ? this.#entitled : this.#ahead;
  }

  #update(account: ShareAccount): void {
    this.#heapOf(account).update(account);
    this.#advance();
    if (account.isEntitled && account.key > this.#latestEntitledTag) {
      this.#entitled.remove(account);
      setEntitled(account, false);
      this.#ahead.push(account);
    }
  }

  /** Advances virtual time, and entitles those that are not ahead any more. */
  #advance(): void {
    if (this.#entitled.size + this.#ahead.size === 0) return;
    const first = this.#entitled.peek()?.key ?? Infinity;
    const firstAhead = this.#ahead.peek()?.key ?? Infinity;
    this.#virtualTime = Math.max(
      this.#virtualTime,
      Math.min(first, firstAhead),
    );
    for (;;) {
      const account = this.#ahead.peek();
      if (account === undefined || account.key > this.#latestEntitledTag) {
        return;
      }
      this.#ahead.remove(account);
      setEntitled(account, true);
      this.#entitled.push(account);
    }
  }

  get #latestEntitledTag(): number {
    return this.#virtualTime + this.#toleratedLead;
  }
}

function setEntitled(account: ShareAccount, isEntitled: boolean): void {
  if (account.isEntitled === isEntitled) return;
  account.isEntitled = isEntitled;
  for (const observer of account.observers) observer.updateEntitlement();
}

/** Tier and organisation of a request. */
type Claimant = Pick<GrantRequest, "tierRank" | "organisation">;

/** Determines which organisations are entitled to the next grants. */
export class OrganisationShares {
  readonly #tiers = new Map<number, TierShares>();
  #toleratedLead = Infinity;

  /** Sets the slots that are divided; without them grants are not. */
  setSlots(slots: number | undefined): void {
    const lead = slots === undefined ? Infinity : TOLERATED_TIME * slots;
    if (lead === this.#toleratedLead) return;
    this.#toleratedLead = lead;
    for (const tier of this.#tiers.values()) tier.setToleratedLead(lead);
  }

  accountOf({ tierRank, organisation }: Claimant): ShareAccount {
    return this.#tier(tierRank).accountOf(organisation);
  }

  /** Records that a request waits. */
  add(request: Claimant): ShareAccount {
    const account = this.accountOf(request);
    this.#tier(request.tierRank).add(account);
    return account;
  }

  /** Records that a request of the account does not wait any more. */
  remove(
    { tierRank }: Pick<Claimant, "tierRank">,
    account: ShareAccount,
  ): void {
    this.#tier(tierRank).remove(account);
  }

  /** Whether the organisation has waiting requests in the tier. */
  isWaiting({ tierRank, organisation }: Claimant): boolean {
    return this.#tiers.get(tierRank)?.isWaiting(organisation) ?? false;
  }

  /** Makes all organisations equal again in tiers without waiting requests. */
  resetIdle(): void {
    for (const tier of this.#tiers.values()) tier.resetIfIdle();
  }

  /** Charges the organisation of a granted request; `weight`: above 0. */
  recordGrant(
    request: Claimant & Pick<GrantRequest, "cost">,
    weight = 1,
  ): void {
    if (this.#toleratedLead === Infinity) return;
    const slotTime = nominalSlotTime(request.cost) / weight;
    this.#tier(request.tierRank).charge(this.accountOf(request), slotTime);
  }

  #tier(tierRank: number): TierShares {
    let tier = this.#tiers.get(tierRank);
    if (tier === undefined) {
      tier = new TierShares(this.#toleratedLead);
      this.#tiers.set(tierRank, tier);
    }
    return tier;
  }
}
