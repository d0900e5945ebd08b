/** A fleet in which one service moves from one version to the next. @module */
import type { ConfigurationObjects, Move } from "@sycamorepulley/configuration";
import { waitFor } from "../process/wait_for.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { exampleObjects } from "./example_objects.ts";
import { Fleet } from "./fleet.ts";
import type { LaunchedBackend } from "./fleet.ts";

/** What an entry says of the move. */
export type MoveStatus = { state: string; share: number; detail: string };

/** Calls in flight at a time while a move is fed. */
const CALLERS = 4;

/** Two servers of the old version and one of the new, two entries. */
export class MoveFleet {
  readonly fleet: Fleet;
  readonly newBackend: LaunchedBackend;
  #feeding = true;
  #calls = 0;

  private constructor(fleet: Fleet) {
    this.fleet = fleet;
    this.newBackend = fleet.backends.at(-1)!;
  }

  /** Starts the fleet with a move that ends `duration` ms from now. */
  static async start(duration: number): Promise<MoveFleet> {
    const fleet = await Fleet.start({
      entries: 2,
      backends: ["bookings-1", "bookings-1", "bookings-2"].map((version) => ({
        kind: "plain",
        service: "bookings",
        version,
        options: { callTime: 1 },
      })),
      objects: objectsWithMove(duration),
    });
    return new MoveFleet(fleet);
  }

  /** Calls both entries without a pause until {@link stop}. */
  sendCalls(): Promise<void> {
    const feeders = Array.from({ length: CALLERS }, async (_, number) => {
      const entry = this.fleet.entries[number % this.fleet.entries.length];
      const caller = this.fleet.caller(entry);
      while (this.#feeding) {
        this.#calls += 1;
        await caller.callPlainService({
          marker: `call-${this.#calls}`,
          service: "bookings",
          method: "GET",
          path: "/bookings/1",
        });
      }
    });
    return Promise.all(feeders).then(() => undefined);
  }

  /** Calls sent so far, to either version. */
  get calls(): number {
    return this.#calls;
  }

  /** Calls that the new version's server has seen. */
  async countCallsToNewVersion(): Promise<number> {
    return (await this.newBackend.server.records()).length;
  }

  /** Waits until an entry says that the move has ended; how it ended. */
  waitForEnd(entry: DaemonProcess, timeout: number): Promise<MoveStatus> {
    return waitFor("the move to end", async () => {
      const move = await standing(entry);
      return move?.state === "complete" || move?.state === "taken_back"
        ? move
        : undefined;
    }, timeout);
  }

  /** Waits until an entry sends a share to the new version. */
  waitForStart(entry: DaemonProcess): Promise<MoveStatus> {
    return waitFor("the move to begin", async () => {
      const move = await standing(entry);
      return move && move.share > 0 ? move : undefined;
    });
  }

  /** The entry that drives the move, by its own log. */
  waitForDriver(): Promise<DaemonProcess> {
    return waitFor(
      "a driver",
      () =>
        this.fleet.entries.find(({ process }) =>
          !process.hasExited && process.output.includes("driving move")
        ),
    );
  }

  /** Ends the feeding and every process. */
  async stop(): Promise<void> {
    this.#feeding = false;
    await this.fleet.kill();
  }
}

async function standing(
  entry: DaemonProcess,
): Promise<MoveStatus | undefined> {
  const { moves } = await entry.status() as { moves?: MoveStatus[] };
  return moves?.[0];
}

function objectsWithMove(duration: number): ConfigurationObjects {
  const objects = exampleObjects();
  const move: Move = {
    name: "bookings-to-2",
    service: "bookings",
    from: "bookings-1",
    to: "bookings-2",
    deadline: new Date(Date.now() + duration).toISOString(),
    trialShare: 0.02,
    trialRequests: 200,
  };
  const version = { name: "bookings-2", service: "bookings", live: false };
  return {
    ...objects,
    versions: [...objects.versions, version],
    moves: [move],
  };
}
