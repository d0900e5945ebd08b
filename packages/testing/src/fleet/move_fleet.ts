/** A fleet in which one service moves from one version to another. @module */
import type { ConfigurationObjects, Move } from "@sycamorepulley/configuration";
import { waitFor } from "../process/wait_for.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { exampleObjects } from "./example_objects.ts";
import { Fleet } from "./fleet.ts";
import type { LaunchedBackend } from "./fleet.ts";

/** Status of the move as reported by an entry. */
export type MoveStatus = { state: string; share: number; detail: string };

/** Number of concurrent calls during a move. */
const CONCURRENT_CALLS = 4;

/** Two entries, two servers of the old version and one of the new version. */
export class MoveFleet {
  readonly fleet: Fleet;
  readonly newBackend: LaunchedBackend;
  #sending = true;
  #calls = 0;

  private constructor(fleet: Fleet) {
    this.fleet = fleet;
    this.newBackend = fleet.backends.at(-1)!;
  }

  /**
   * Starts the fleet with a move whose deadline is `duration` milliseconds from
   * now.
   */
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

  /** Calls both entries continuously until {@link stop} is called. */
  sendCalls(): Promise<void> {
    const senders = Array.from(
      { length: CONCURRENT_CALLS },
      async (_, number) => {
        const entry = this.fleet.entries[number % this.fleet.entries.length];
        const caller = this.fleet.caller(entry);
        while (this.#sending) {
          this.#calls += 1;
          await caller.callPlainService({
            marker: `call-${this.#calls}`,
            service: "bookings",
            method: "GET",
            path: "/bookings/1",
          });
        }
      },
    );
    return Promise.all(senders).then(() => undefined);
  }

  /** Number of calls sent so far, to either version. */
  get calls(): number {
    return this.#calls;
  }

  /** Number of calls that the server of the new version has received. */
  async countCallsToNewVersion(): Promise<number> {
    return (await this.newBackend.server.records()).length;
  }

  /**
   * Waits until an entry reports that the move has ended; returns its final
   * status.
   */
  waitForEnd(entry: DaemonProcess, timeout: number): Promise<MoveStatus> {
    return waitFor("the move to end", async () => {
      const move = await readMoveStatus(entry);
      return move?.state === "complete" || move?.state === "taken_back"
        ? move
        : undefined;
    }, timeout);
  }

  /** Waits until an entry sends a share of the calls to the new version. */
  waitForStart(entry: DaemonProcess): Promise<MoveStatus> {
    return waitFor("the move to begin", async () => {
      const move = await readMoveStatus(entry);
      return move && move.share > 0 ? move : undefined;
    });
  }

  /** Waits until the log of an entry says that it drives the move. */
  waitForDriver(): Promise<DaemonProcess> {
    return waitFor(
      "an entry to drive the move",
      () =>
        this.fleet.entries.find(({ process }) =>
          !process.hasExited && process.output.includes("driving move")
        ),
    );
  }

  /** Stops sending calls and kills every process. */
  async stop(): Promise<void> {
    this.#sending = false;
    await this.fleet.kill();
  }
}

async function readMoveStatus(
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
