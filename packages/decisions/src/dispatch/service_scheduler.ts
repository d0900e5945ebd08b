/**
 * The one queue in front of all backend servers of a service: who waits, who is
 * sent where, who is turned away.
 *
 * Engines know no priorities and admit in order of arrival: what is sent to one
 * waits there beyond any control. So no more is sent than it runs at once, and
 * what waits here can be ordered, sent elsewhere or refused early. The order is
 * that of `ask_value.ts`; a request is refused, and told when to come back, once
 * it can't be on time and is out of reach of that order.
 * @module
 */
import type { ServerRecord } from "../discovery/mod.ts";
import type { GroupFractions } from "../fleet/mod.ts";
import { OrganisationQuotas } from "../quotas/mod.ts";
import type { QuotaLeeway } from "../quotas/mod.ts";
import { ServerLimits } from "../server_limits/mod.ts";
import { AnswerValue } from "./response_value.ts";
import type {
  AskStanding,
  GrantDecision,
  GrantRefusalReason,
  GrantRequest,
  RefusalInputs,
  RunOutcome,
} from "./grant_request.ts";
import { AskQueue, WaitingAsk } from "./request_queue.ts";
import { GrantRate } from "./service_demand.ts";
import { QuotaReservations } from "./quota_reservations.ts";
import { retryAfter } from "./retry_after.ts";
import { ReturningCallers } from "./retrying_callers.ts";
import { nominalUse } from "./latency_ratio.ts";
import type { StreamTiming } from "./pooled_server.ts";
import { ServiceRooms } from "./server_pool.ts";
import type { Granted, ServiceView } from "./server_pool.ts";
import { SizeShares } from "./size_fairness.ts";

const NO_LEEWAY: QuotaLeeway = { window: 1000, overage: 0, slack: 0 };

/** Asks that find no room in one sweep before it ends: a bound on its time. */
const MOST_PASSED_OVER = 40;

/** Grants servers of one service. Verdicts are drawn by `verdicts`. */
export class ServiceScheduler {
  readonly #rooms: ServiceRooms;
  readonly #rate = new GrantRate();
  readonly #value = new AnswerValue();
  readonly #sizes = new SizeShares();
  readonly #queue = new AskQueue();
  readonly #granted = new Map<string, Granted>();
  readonly #returning = new ReturningCallers();
  readonly #quotas: OrganisationQuotas;
  readonly #quotaReservations: QuotaReservations;

  /**
   * `quotas` are charged for what is granted, and `limits` are kept to that servers
   * state; none if absent.
   */
  constructor(
    quotas = new OrganisationQuotas(NO_LEEWAY),
    limits = new ServerLimits(),
  ) {
    this.#quotas = quotas;
    this.#rooms = new ServiceRooms(limits);
    this.#quotaReservations = new QuotaReservations(quotas);
  }

  get waiting(): number {
    return this.#queue.size;
  }

  get running(): number {
    return this.#granted.size;
  }

  /** Requests that all servers run at once. */
  get places(): number {
    return this.#rooms.places;
  }

  /** Grants in the last second. */
  granted(now: number): number {
    return this.#rate.perSecond(now);
  }

  /** Takes over which servers may be sent work. */
  setServers(records: readonly ServerRecord[]): void {
    this.#rooms.setServers(records);
  }

  /** See {@link ServiceRooms.setParts}. */
  setParts(parts: GroupFractions): void {
    this.#rooms.setParts(parts);
  }

  /** Queues an ask, or turns it away at once. */
  submit(ask: GrantRequest, now: number): GrantDecision | undefined {
    // Held until its end, a request that every server was tried for would get
    // the same answer, only later.
    const tried =
      ask.excludedServers.filter((name) => this.#rooms.has(name)).length;
    if (tried >= this.#rooms.size) {
      return this.#refusal(ask, "no_server", now);
    }
    const waiting = this.#waitingOf(ask, now);
    const time = this.#rooms.expectedTime(ask, now);
    this.#rate.arrived(waiting.key, time, now);
    this.#queue.push(waiting);
    return undefined;
  }

  /** Takes an ask back; true if it was granted and the grant not used. */
  withdraw(id: string): boolean {
    const waiting = this.#queue.remove(id);
    if (waiting !== undefined) this.#quotaReservations.release(waiting.ask);
    const granted = this.#granted.get(id);
    if (granted === undefined) return false;
    this.#granted.delete(id);
    this.#rooms.released(granted);
    return true;
  }

  /** Counts a run that another entry granted before. */
  adopt(ask: GrantRequest, server: string): void {
    if (this.#granted.has(ask.id)) return;
    const granted = { ask, server };
    if (this.#rooms.adopted(granted)) this.#granted.set(ask.id, granted);
  }

  /** The first answer came `measured` milliseconds after the request was sent. */
  recordResponseStart(id: string, measured: number, now: number): void {
    const granted = this.#granted.get(id);
    if (granted !== undefined) this.#rooms.firstAnswer(granted, measured, now);
  }

  /** All after the first token of an answer came; call it before `ended`. */
  recordStreamTiming(id: string, pace: StreamTiming, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined || pace.tokens <= 0) return;
    this.#rooms.restAnswered(granted, pace, now);
  }

  /** States how a granted request ended. */
  recordEnd(id: string, end: RunOutcome, now: number): void {
    const granted = this.#granted.get(id);
    if (granted === undefined) return;
    this.#granted.delete(id);
    this.#rooms.ended(granted, end, now);
  }

  /** An entry is gone, and with it its connections to servers. */
  removeEntry(entry: string): void {
    for (const { ask } of [...this.#queue]) {
      if (ask.entry !== entry) continue;
      this.#queue.remove(ask.id);
      this.#quotaReservations.release(ask);
    }
    for (const [id, { ask }] of this.#granted) {
      if (ask.entry === entry) this.#granted.delete(id);
    }
    this.#rooms.forgetEntry(entry);
  }

  /** Everything that can be decided now. */
  decide(now: number): GrantDecision[] {
    const verdicts = now >= this.#queue.changesAt ? this.#changes(now) : [];
    if (this.#queue.size === 0 || !this.#rooms.hasPlace(now)) return verdicts;
    this.#grantWaiting(verdicts, now);
    return verdicts;
  }

  /** One sweep is enough: places and quotas only become fewer in it. */
  #grantWaiting(verdicts: GrantDecision[], now: number): void {
    const view = this.#rooms.view(now);
    let passedOver = 0;
    this.#queue.sweep((waiting) => {
      const { ask } = waiting;
      if (view.free.size === 0 || passedOver >= MOST_PASSED_OVER) {
        return "stop";
      }
      if (!this.#quotaReservations.allows(ask, now)) return "passed_over";
      const server = this.#rooms.choose(ask, view, now);
      if (server === undefined) {
        this.#quotaReservations.release(ask);
        passedOver++;
        return "passed_over";
      }
      const { sizedKind, value } = waiting;
      this.#sizes.granted(sizedKind, nominalUse(ask.cost) / value);
      verdicts.push(this.#grant({ ask, server }, view, now));
      return "taken";
    });
  }

  #grant(granted: Granted, view: ServiceView, now: number): GrantDecision {
    const { ask: request, server } = granted;
    this.#quotaReservations.release(request);
    this.#quotas.charge(request.organisation, request.charge, now);
    this.#granted.set(request.id, granted);
    this.#rooms.started(granted, view, now);
    this.#rate.granted(now);
    return { kind: "grant", request: request, server };
  }

  #waitingOf(ask: GrantRequest, now: number): WaitingAsk {
    const { cost, expiresAt: lapsesAt } = ask;
    const kind = `${ask.tierRank}.${ask.routeRank}`;
    const returned = this.#returning.returns(ask.fingerprint, now);
    const sizedKind = this.#sizes.asked(kind, cost, returned);
    const ownValue = this.#value.observe(kind, cost);
    const value = this.#sizes.valueOf(sizedKind, cost, ownValue);
    const latestStart = ask.latencyGoalAt - this.#rooms.expectedFirst(ask, now);
    const timely = latestStart > now;
    const standing = returned ? "returned" : timely ? "timely" : "late";
    const changesAt = standing === "timely" ? latestStart : lapsesAt;
    return new WaitingAsk(ask, { standing, changesAt, value, sizedKind });
  }

  /** Asks that can't be on time any more, and those nobody waits for. */
  #changes(now: number): GrantDecision[] {
    const verdicts: GrantDecision[] = [];
    for (const waiting of this.#queue.takeDue(now)) {
      const { ask } = waiting;
      if (ask.expiresAt <= now) {
        const reason = this.#lapseReason(ask, now);
        verdicts.push(this.#refusal(ask, reason, now, waiting.standing));
        continue;
      }
      this.#becomeLate(waiting, now, verdicts);
    }
    return verdicts;
  }

  #lapseReason(ask: GrantRequest, now: number): GrantRefusalReason {
    const allowed = this.#quotas.allows(ask.organisation, ask.charge, now);
    return allowed ? "expired" : "quota";
  }

  #becomeLate(
    waiting: WaitingAsk,
    now: number,
    verdicts: GrantDecision[],
  ): void {
    const { ask, value, sizedKind } = waiting;
    const late = new WaitingAsk(ask, {
      standing: "late",
      changesAt: ask.expiresAt,
      value,
      sizedKind,
    });
    // Just after a start expected times are high, since the process itself is
    // slow; they are no reason to refuse while a place is free.
    if (!this.#rooms.hasPlace(now) && this.#beyondReach(late.key, now)) {
      const { standing } = waiting;
      verdicts.push(this.#refusal(ask, "overload", now, standing));
      return;
    }
    this.#queue.push(late);
  }

  #beyondReach(key: number, now: number): boolean {
    const places = this.#rooms.ownPlaces(this.#rate.meanTime(now));
    return this.#rate.beyondReach(key, places, now);
  }

  #refusal(
    request: GrantRequest,
    reason: GrantRefusalReason,
    now: number,
    standing?: AskStanding,
  ): GrantDecision {
    this.#returning.refused(request.fingerprint, now);
    this.#quotaReservations.release(request);
    return {
      kind: "refuse",
      request: request,
      reason,
      retryAfter: retryAfter(request, reason, now),
      inputs: { ...this.seen(request, now), standing },
    };
  }

  /** What a refusal goes by. */
  seen(ask: GrantRequest, now: number): RefusalInputs {
    const { organisation, charge } = ask;
    return {
      free: this.#rooms.freePlaces,
      waiting: this.#queue.size,
      quotaWait: this.#quotas.waitFor(organisation, charge, now),
    };
  }
}
