/**
 * Every move that an entry knows, and the task that keeps them up to date.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { RouteEvidence } from "@sycamorepulley/decisions";
import type { ConfigurationIndex, Move } from "@sycamorepulley/configuration";
import type { KeyValueStore, MoveStatus } from "@sycamorepulley/store";
import { wallNow } from "../common/clock.ts";
import type { Log } from "../common/log.ts";
import { EvidenceLink } from "./evidence_link.ts";
import { MoveDriver } from "./move_driver.ts";
import type { DriverAddress } from "./move_driver.ts";
import { ServiceMove } from "./service_move.ts";
import type { VersionChoice } from "./service_move.ts";
import {
  decodeStoredMove,
  driverKey,
  encodeStoredMove,
  moveKey,
} from "./stored_move.ts";
import type { StoredMove } from "./stored_move.ts";
import type { HelloMessage } from "@sycamorepulley/protocol";

/** Shortest time between two rounds, in milliseconds. */
const LEAST_INTERVAL = 1000;
/** Each entry of the fleet spaces the rounds by this much, in milliseconds. */
const INTERVAL_PER_ENTRY = 10;

/** Options of {@link MoveController}. */
export type MoveControllerOptions = {
  store: KeyValueStore;
  index: () => ConfigurationIndex | undefined;
  ownAddress: () => DriverAddress;
  createHello: () => HelloMessage;
  /** Entries in the fleet, as far as listed. */
  entryCount: () => number;
  /** Share of a service's requests that a version's servers can carry. */
  capacityShare: (service: string, version: string) => number;
  /** Hands a record on to the service's sidecars, for entries to come. */
  distributeRecord: (service: string, text: string) => void;
  random: () => number;
  log: Log;
};

type Known = { view: ServiceMove; driver: MoveDriver };

/** Chooses versions, gathers evidence, and drives where it holds the lease. */
export class MoveController {
  readonly #options: MoveControllerOptions;
  readonly #known = new Map<string, Known>();
  readonly #links = new Map<string, EvidenceLink>();

  constructor(options: MoveControllerOptions) {
    this.#options = options;
  }

  /** The version for a service's next request; undefined: any. */
  chooseVersion(
    service: string,
  ): VersionChoice | { version: string | undefined } {
    const index = this.#options.index();
    const live = index?.liveVersion(service)?.name;
    const now = wallNow();
    for (const { view } of this.#known.values()) {
      if (view.move.service !== service || view.move.from !== live) continue;
      if (view.effectiveOutcome(now) === "takenBack") continue;
      return view.choose(now, this.#options.entryCount());
    }
    return { version: live };
  }

  /** What became of a request whose version {@link chooseVersion} gave. */
  recordCall(
    choice: VersionChoice,
    call: { route: string; failed: boolean; slowness?: number | undefined },
  ): void {
    this.#known.get(choice.move)?.view.ended(choice.side, call);
  }

  /** The request of a choice did not run. */
  recordNotRun(choice: VersionChoice): void {
    this.#known.get(choice.move)?.view.notRun(choice.side);
  }

  /** A record that a peer holds. */
  receiveRecord(text: string): void {
    const stored = decodeStoredMove(text);
    if (stored) this.#adopt(stored);
  }

  /** Evidence that another entry sent because this one drives. */
  receiveEvidence(move: string, evidence: RouteEvidence[]): void {
    this.#known.get(move)?.driver.observe(evidence);
  }

  status(): MoveStatus[] {
    const now = wallNow();
    return [...this.#known.values()].map(({ view }) => view.status(now));
  }

  /** Follows, reports and drives until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#syncWithConfiguration();
      for (const known of this.#known.values()) await this.#round(known);
      const interval = Math.max(
        LEAST_INTERVAL,
        this.#options.entryCount() * INTERVAL_PER_ENTRY,
      );
      const pause = interval * (0.75 + this.#options.random() / 2);
      await sleep(pause, undefined, { signal }).catch(() => {});
    }
    for (const { driver } of this.#known.values()) await driver.stop();
    for (const link of this.#links.values()) link.close();
  }

  #syncWithConfiguration(): void {
    const moves = this.#options.index()?.objects.moves ?? [];
    const names = new Set(moves.map((move) => move.name));
    for (const move of moves) {
      if (!this.#known.has(move.name)) this.#add(move);
    }
    for (const [name, { driver }] of this.#known) {
      if (names.has(name)) continue;
      void driver.stop();
      this.#known.delete(name);
    }
  }

  #add(move: Move): void {
    const { store, ownAddress: self, capacityShare: room, random, log } =
      this.#options;
    const firstRemainder = random();
    const view = new ServiceMove({ move, now: wallNow(), firstRemainder });
    const driver = new MoveDriver({
      move,
      store,
      self: self(),
      room: () => room(move.service, move.to),
      onRecord: (stored) => this.#adopt(stored),
      log,
    });
    this.#known.set(move.name, { view, driver });
  }

  async #round(known: Known): Promise<void> {
    const { view, driver } = known;
    const now = wallNow();
    const evidence = view.takeEvidence(now);
    const { phase } = view.stored.record;
    if (phase === "complete" || phase === "takenBack") {
      // The old version's last calls are told too, but nothing is decided.
      await driver.stop();
      return;
    }
    driver.observe(evidence);
    await driver.step(now);
    if (driver.driving) return;
    await this.#follow(view);
    await this.#report(view.move.name, evidence);
  }

  async #follow(view: ServiceMove): Promise<void> {
    const found = await this.#options.store.get(moveKey(view.move.name));
    if (found.isErr || found.value === undefined) return;
    this.receiveRecord(found.value.value);
  }

  /** Sends own evidence to whoever drives. */
  async #report(move: string, evidence: RouteEvidence[]): Promise<void> {
    if (evidence.length === 0) return;
    const link = this.#links.get(move) ??
      new EvidenceLink(this.#options.createHello);
    this.#links.set(move, link);
    const driver = await this.#options.store.get(driverKey(move));
    if (driver.isErr || driver.value === undefined) return;
    await link.send(driver.value.value, { type: "evidence", move, evidence });
  }

  #adopt(stored: StoredMove): void {
    const view = this.#known.get(stored.record.move)?.view;
    if (!view?.adopt(stored)) return;
    this.#options.distributeRecord(
      stored.record.service,
      encodeStoredMove(stored),
    );
  }
}
