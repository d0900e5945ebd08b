/**
 * All moves that an entry knows, and the task that keeps them up to date. A
 * move shifts a service's requests step by step from one version of its backend
 * servers to the next.
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

/** Minimum milliseconds between two rounds. */
const MIN_ROUND_INTERVAL = 1000;
/** Milliseconds that each entry of the fleet adds to the round interval. */
const ROUND_INTERVAL_PER_ENTRY = 10;

/** Options of {@link MoveController}. */
export type MoveControllerOptions = {
  store: KeyValueStore;
  index: () => ConfigurationIndex | undefined;
  /** Returns the address at which this entry receives evidence. */
  ownAddress: () => DriverAddress;
  createHello: () => HelloMessage;
  /** Returns the number of entries in the instance list. */
  entryCount: () => number;
  /**
   * Returns the share, 0 to 1, of a service's current requests that the servers
   * of a version can carry.
   */
  capacityShare: (service: string, version: string) => number;
  /**
   * Sends a record to the service's sidecars, which pass it on to entries that
   * connect later.
   */
  distributeRecord: (service: string, text: string) => void;
  random: () => number;
  log: Log;
};

type KnownMove = { serviceMove: ServiceMove; driver: MoveDriver };

/**
 * Chooses the version for each request, collects evidence, and drives the moves
 * whose lease this entry holds.
 */
export class MoveController {
  readonly #options: MoveControllerOptions;
  readonly #moves = new Map<string, KnownMove>();
  readonly #links = new Map<string, EvidenceLink>();

  constructor(options: MoveControllerOptions) {
    this.#options = options;
  }

  /**
   * Returns the version for a service's next request; a version of `undefined`
   * allows any.
   */
  chooseVersion(
    service: string,
  ): VersionChoice | { version: string | undefined } {
    const index = this.#options.index();
    const live = index?.liveVersion(service)?.name;
    const now = wallNow();
    for (const { serviceMove } of this.#moves.values()) {
      if (
        serviceMove.move.service !== service || serviceMove.move.from !== live
      ) continue;
      if (serviceMove.effectiveOutcome(now) === "takenBack") continue;
      return serviceMove.chooseVersion(now, this.#options.entryCount());
    }
    return { version: live };
  }

  /** Records the end of a request whose version {@link chooseVersion} chose. */
  recordCall(
    choice: VersionChoice,
    call: { route: string; failed: boolean; slowness?: number | undefined },
  ): void {
    this.#moves.get(choice.move)?.serviceMove.recordCall(choice.side, call);
  }

  /** Records that the request did not run. */
  recordNotRun(choice: VersionChoice): void {
    this.#moves.get(choice.move)?.serviceMove.recordNotRun(choice.side);
  }

  /** Adopts a record that a peer sent, if it is newer. */
  receiveRecord(text: string): void {
    const stored = decodeStoredMove(text);
    if (stored) this.#adoptRecord(stored);
  }

  /** Adds evidence that another entry sent because this one is the driver. */
  receiveEvidence(move: string, evidence: RouteEvidence[]): void {
    this.#moves.get(move)?.driver.addEvidence(evidence);
  }

  status(): MoveStatus[] {
    const now = wallNow();
    return [...this.#moves.values()].map(({ serviceMove }) =>
      serviceMove.status(now)
    );
  }

  /** Runs a round of every move at intervals until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#syncWithConfiguration();
      for (const known of this.#moves.values()) await this.#runRound(known);
      const interval = Math.max(
        MIN_ROUND_INTERVAL,
        this.#options.entryCount() * ROUND_INTERVAL_PER_ENTRY,
      );
      const pause = interval * (0.75 + this.#options.random() / 2);
      await sleep(pause, undefined, { signal }).catch(() => {});
    }
    for (const { driver } of this.#moves.values()) await driver.stop();
    for (const link of this.#links.values()) link.close();
  }

  #syncWithConfiguration(): void {
    const moves = this.#options.index()?.objects.moves ?? [];
    const names = new Set(moves.map((move) => move.name));
    for (const move of moves) {
      if (!this.#moves.has(move.name)) this.#addMove(move);
    }
    for (const [name, { driver }] of this.#moves) {
      if (names.has(name)) continue;
      void driver.stop();
      this.#moves.delete(name);
    }
  }

  #addMove(move: Move): void {
    const {
      store,
      ownAddress,
      capacityShare,
      random,
      log,
    } = this.#options;
    const firstRemainder = random();
    const serviceMove = new ServiceMove({
      move,
      now: wallNow(),
      firstRemainder,
    });
    const driver = new MoveDriver({
      move,
      store,
      ownAddress: ownAddress(),
      capacityShare: () => capacityShare(move.service, move.to),
      onRecord: (stored) => this.#adoptRecord(stored),
      log,
    });
    this.#moves.set(move.name, { serviceMove, driver });
  }

  async #runRound(known: KnownMove): Promise<void> {
    const { serviceMove, driver } = known;
    const now = wallNow();
    const evidence = serviceMove.flushEvidence(now);
    const { phase } = serviceMove.stored.record;
    if (phase === "complete" || phase === "takenBack") {
      // Calls that end after the move, such as the last ones of the old
      // version, are still collected but decide nothing.
      await driver.stop();
      return;
    }
    driver.addEvidence(evidence);
    await driver.runRound(now);
    if (driver.isDriving) return;
    await this.#readRecord(serviceMove);
    await this.#reportEvidence(serviceMove.move.name, evidence);
  }

  async #readRecord(serviceMove: ServiceMove): Promise<void> {
    const found = await this.#options.store.get(moveKey(serviceMove.move.name));
    if (found.isErr || found.value === undefined) return;
    this.receiveRecord(found.value.value);
  }

  /** Sends this entry's evidence to the move's driver. */
  async #reportEvidence(
    move: string,
    evidence: RouteEvidence[],
  ): Promise<void> {
    if (evidence.length === 0) return;
    const link = this.#links.get(move) ??
      new EvidenceLink(this.#options.createHello);
    this.#links.set(move, link);
    const driver = await this.#options.store.get(driverKey(move));
    if (driver.isErr || driver.value === undefined) return;
    await link.send(driver.value.value, { type: "evidence", move, evidence });
  }

  #adoptRecord(stored: StoredMove): void {
    const serviceMove = this.#moves.get(stored.record.move)?.serviceMove;
    if (!serviceMove?.adopt(stored)) return;
    this.#options.distributeRecord(
      stored.record.service,
      encodeStoredMove(stored),
    );
  }
}
