/**
 * Queue of waiting requests, ordered by {@link priorityKey}. Where a route is
 * owed a grant, its first request takes the position of the first one of its
 * tier; where a size class is, that of the first one of its tier and route.
 * Organisations that have used more than their share of a tier are passed over
 * as long as others wait there; see {@link OrganisationShares}.
 * @module
 */
import { OUTSIDE_HEAP } from "../queueing/indexed_heap.ts";
import type { HeapItem } from "../queueing/indexed_heap.ts";
import type { GrantRequest, RequestStanding } from "./grant_request.ts";
import { OrganisationBacklogs } from "./organisation_backlog.ts";
import { OrganisationShares } from "./organisation_shares.ts";
import type { ShareAccount } from "./organisation_shares.ts";
import { priorityClassOf, priorityKey, standingValue } from "./priority_key.ts";
import type { RouteFairness } from "./route_fairness.ts";
import type { RequestClass, SizeClass, SizeFairness } from "./size_fairness.ts";

/** A waiting request; `key` determines its position in the queue. */
export class QueuedRequest implements HeapItem {
  readonly request: GrantRequest;
  /** Time at which the request can no longer be timely, or expires. */
  standingEndsAt: number;
  readonly standing: RequestStanding;
  /** Value of the response relative to others of its tier and route. */
  readonly value: number;
  readonly requestClass: RequestClass;
  /** Account of its organisation; set while the request is in the queue. */
  account: ShareAccount | undefined;
  key: number;
  heapIndex = OUTSIDE_HEAP;

  constructor(
    request: GrantRequest,
    options: {
      standing: RequestStanding;
      standingEndsAt: number;
      value: number;
      requestClass: RequestClass;
    },
  ) {
    this.request = request;
    this.standing = options.standing;
    this.standingEndsAt = options.standingEndsAt;
    this.value = options.value;
    this.requestClass = options.requestClass;
    this.key = priorityKey(request, options.standing, options.value);
  }
}

/** What a visitor decides on a request: take it, pass it over, or stop. */
export type VisitResult =
  | "taken"
  /** Its organisation or its entry can't use any server now. */
  | "blocked"
  /** No free server suits it. */
  | "no_server"
  | "stop";

/** Weight of the insertion order among requests of the same millisecond. */
const SEQUENCE_WEIGHT = 1e-9;

/** The requests of one priority class, by size class. */
class PriorityClassQueue {
  readonly tierRank: number;
  readonly #backlogs: Record<SizeClass, OrganisationBacklogs> = {
    largest: new OrganisationBacklogs(),
    large: new OrganisationBacklogs(),
    usual: new OrganisationBacklogs(),
  };
  /** Requests of all sizes whose callers have an appointment. */
  readonly #appointed = new OrganisationBacklogs();

  constructor(tierRank: number) {
    this.tierRank = tierRank;
  }

  push(queued: QueuedRequest, account: ShareAccount): void {
    this.#backlogOf(queued).push(queued, account);
  }

  remove(queued: QueuedRequest): void {
    this.#backlogOf(queued).remove(queued);
  }

  first(): QueuedRequest | undefined {
    const { largest, large, usual } = this.#backlogs;
    const first = earlier(
      earlier(largest.first(), large.first()),
      usual.first(),
    );
    return earlier(first, this.#appointed.first());
  }

  /** Prefers the organisations that are entitled to grants. */
  firstAppointed(): QueuedRequest | undefined {
    return this.#appointed.firstEntitled() ?? this.#appointed.first();
  }

  /** The first request of the organisations that are entitled to grants. */
  firstEntitled(): QueuedRequest | undefined {
    const { largest, large, usual } = this.#backlogs;
    const first = earlier(
      earlier(largest.firstEntitled(), large.firstEntitled()),
      usual.firstEntitled(),
    );
    return earlier(first, this.#appointed.firstEntitled());
  }

  #backlogOf({ standing, requestClass }: QueuedRequest): OrganisationBacklogs {
    return standing === "appointed"
      ? this.#appointed
      : this.#backlogs[requestClass.sizeClass];
  }

  /** Prefers the organisations that are entitled to grants. */
  firstOf(sizeClass: SizeClass): QueuedRequest | undefined {
    const backlogs = this.#backlogs[sizeClass];
    return backlogs.firstEntitled() ?? backlogs.first();
  }
}

/** Priority queue with access by request id. */
export class RequestQueue {
  readonly #sizeFairness: SizeFairness;
  readonly #routeFairness: RouteFairness;
  readonly #shares: OrganisationShares;
  readonly #classes = new Map<string, PriorityClassQueue>();
  readonly #byId = new Map<string, QueuedRequest>();
  /** Number of requests by data centre of the caller. */
  readonly #waitingIn = new Map<string, number>();
  #pushed = 0;
  #nextStandingEnd = Infinity;

  constructor(
    fairness: {
      sizes: SizeFairness;
      routes: RouteFairness;
      organisations?: OrganisationShares;
    },
  ) {
    this.#sizeFairness = fairness.sizes;
    this.#routeFairness = fairness.routes;
    this.#shares = fairness.organisations ?? new OrganisationShares();
  }

  /** Time before which no request's standing ends. */
  get nextStandingEnd(): number {
    return this.#nextStandingEnd;
  }

  get size(): number {
    return this.#byId.size;
  }

  /** Number of waiting requests of callers of a data centre. */
  waitingIn(dataCentre: string): number {
    return this.#waitingIn.get(dataCentre) ?? 0;
  }

  push(queued: QueuedRequest): void {
    queued.key += ++this.#pushed * SEQUENCE_WEIGHT;
    this.#byId.set(queued.request.id, queued);
    this.#count(queued, 1);
    this.#enter(queued);
    this.#nextStandingEnd = Math.min(
      this.#nextStandingEnd,
      queued.standingEndsAt,
    );
  }

  remove(id: string): QueuedRequest | undefined {
    const queued = this.#byId.get(id);
    if (queued === undefined) return undefined;
    this.#byId.delete(id);
    this.#count(queued, -1);
    this.#leave(queued);
    this.#shares.resetIdle();
    return queued;
  }

  /**
   * Passes the requests in order to `visitor` until it returns `stop`, and
   * removes those that it takes. Requests for which no server is available are
   * passed over, so that a slot that only suits a later request is not left
   * idle.
   */
  visit(visitor: (queued: QueuedRequest) => VisitResult): void {
    const passedOver: QueuedRequest[] = [];
    /** Priority classes whose owed requests suit no server that is free. */
    const unsuited = new Set<string>();
    for (;;) {
      const first = this.#first();
      if (first === undefined) break;
      const entitled = this.#entitledInsteadOf(first);
      const next = this.#owedInsteadOf(entitled, unsuited);
      const result = visitor(next);
      if (result === "stop") break;
      this.#leave(next);
      if (result === "taken") {
        this.#byId.delete(next.request.id);
        this.#count(next, -1);
        continue;
      }
      passedOver.push(next);
      if (next !== entitled && result === "no_server") {
        unsuited.add(next.requestClass.priorityClass);
      }
    }
    for (const queued of passedOver) this.#enter(queued);
    this.#shares.resetIdle();
  }

  /** Removes and returns the requests whose standing has ended. */
  removeDue(now: number): QueuedRequest[] {
    const due: QueuedRequest[] = [];
    this.#nextStandingEnd = Infinity;
    for (const queued of this.#byId.values()) {
      if (queued.standingEndsAt <= now) due.push(queued);
      else {this.#nextStandingEnd = Math.min(
          this.#nextStandingEnd,
          queued.standingEndsAt,
        );}
    }
    for (const { request } of due) this.remove(request.id);
    return due;
  }

  *[Symbol.iterator](): Generator<QueuedRequest> {
    yield* this.#byId.values();
  }

  #count({ request: { dataCentre } }: QueuedRequest, change: number): void {
    this.#waitingIn.set(dataCentre, this.waitingIn(dataCentre) + change);
  }

  /** The request with the smallest key. */
  #first(): QueuedRequest | undefined {
    let first: QueuedRequest | undefined;
    for (const queue of this.#classes.values()) {
      first = earlier(first, queue.first());
    }
    return first;
  }

  #enter(queued: QueuedRequest): void {
    const account = this.#shares.add(queued.request);
    queued.account = account;
    this.#classOf(queued).push(queued, account);
  }

  #leave(queued: QueuedRequest): void {
    this.#classOf(queued).remove(queued);
    const { request, account } = queued;
    queued.account = undefined;
    if (account !== undefined) this.#shares.remove(request, account);
  }

  /**
   * The first request of the same tier of an organisation that is entitled to
   * grants.
   */
  #entitledInsteadOf(first: QueuedRequest): QueuedRequest {
    if (first.account?.isEntitled) return first;
    let entitled: QueuedRequest | undefined;
    for (const queue of this.#classes.values()) {
      if (queue.tierRank !== first.request.tierRank) continue;
      entitled = earlier(entitled, queue.firstEntitled());
    }
    return entitled ?? first;
  }

  /** The request that is owed the grant that `first` would get, or `first`. */
  #owedInsteadOf(
    first: QueuedRequest,
    unsuited: ReadonlySet<string>,
  ): QueuedRequest {
    const ofRoute = this.#owedByRoute(first, unsuited) ?? first;
    const { priorityClass } = ofRoute.requestClass;
    if (unsuited.has(priorityClass)) return ofRoute;
    const appointed = this.#classOf(ofRoute).firstAppointed();
    if (appointed !== undefined) return appointed;
    const sizeClass = this.#sizeFairness.owedClass(priorityClass);
    const ofSize = sizeClass && this.#classOf(ofRoute).firstOf(sizeClass);
    return ofSize && mayReplace(ofSize, ofRoute) ? ofSize : ofRoute;
  }

  #owedByRoute(
    first: QueuedRequest,
    unsuited: ReadonlySet<string>,
  ): QueuedRequest | undefined {
    const { tierRank } = first.request;
    for (const routeRank of this.#routeFairness.owedRoutes(tierRank)) {
      const priorityClass = priorityClassOf({ tierRank, routeRank });
      if (unsuited.has(priorityClass)) continue;
      const queue = this.#classes.get(priorityClass);
      const queued = queue?.firstEntitled() ?? queue?.first();
      if (queued !== undefined && mayReplace(queued, first)) return queued;
    }
    return undefined;
  }

  #classOf({ request, requestClass }: QueuedRequest): PriorityClassQueue {
    const { priorityClass } = requestClass;
    let queue = this.#classes.get(priorityClass);
    if (queue === undefined) {
      queue = new PriorityClassQueue(request.tierRank);
      this.#classes.set(priorityClass, queue);
    }
    return queue;
  }
}

/** True unless `owed` has a worse standing than the request that it passes. */
function mayReplace(owed: QueuedRequest, passed: QueuedRequest): boolean {
  return standingValue(owed.standing) >= standingValue(passed.standing);
}

/** The one of two requests that has the smaller key. */
function earlier(
  one: QueuedRequest | undefined,
  other: QueuedRequest | undefined,
): QueuedRequest | undefined {
  if (one === undefined) return other;
  return other === undefined || one.key <= other.key ? one : other;
}
