/**
 * Checks on this machine whether a reset shows at the end of a connection.
 *
 * A response without a length is whole if its connection ended regularly. That
 * is only known where the kernel, or what stands in its place, lets a process
 * distinguish a reset from an end. The check resets and ends connections of its
 * own together with some bytes, and compares what their sockets find.
 * @module
 */
import { judgeConnectionEnd } from "@sycamorepulley/decisions";
import type {
  ConnectionEnd,
  ConnectionEndVerdict,
  ResetDetection,
} from "@sycamorepulley/decisions";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { ResetDetectingSocket } from "./reset_detecting_socket.ts";

const HOST = "127.0.0.1";
const BYTES = "bytes before the end";
/** Milliseconds that the ends of all connections may take. */
const TIMEOUT = 1000;
/** Milliseconds until an inconclusive check is repeated, at first and at most. */
const INITIAL_DELAY = 1000;
const MAXIMUM_DELAY = 30_000;

/** Ways in which the check ends a connection. */
const ENDINGS = ["reset", "reset_later", "regular"] as const;
type Ending = typeof ENDINGS[number];

/** Milliseconds after the bytes at which `reset_later` resets. */
const RESET_DELAY = 2;

/** What a check found; `detail` has the ends, or why there are none. */
export type ResetCheckResult = { detection: ResetDetection; detail: string };

/** Repeats the check until its result is certain. */
export class ResetCheck {
  readonly #onResult: (result: ResetCheckResult) => void;
  #detection: ResetDetection = "unknown";
  #hasRun = false;

  constructor(onResult: (result: ResetCheckResult) => void) {
    this.#onResult = onResult;
  }

  get detection(): ResetDetection {
    return this.#detection;
  }

  /** True once the first check has ended. */
  get hasRun(): boolean {
    return this.#hasRun;
  }

  /** Resolves after the first check; others follow until `signal` is aborted. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#check();
    this.#hasRun = true;
    void this.#repeat(signal);
  }

  async #check(): Promise<void> {
    const result = await checkResets();
    this.#detection = result.detection;
    this.#onResult(result);
  }

  async #repeat(signal: AbortSignal): Promise<void> {
    let delay = INITIAL_DELAY;
    while (this.#detection === "unknown") {
      try {
        await pause(delay, undefined, { signal, ref: false });
      } catch {
        return;
      }
      await this.#check();
      delay = Math.min(2 * delay, MAXIMUM_DELAY);
    }
  }
}

/** Resets and ends connections of this process; takes at most a second. */
async function checkResets(): Promise<ResetCheckResult> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", (ending) => endAs(String(ending) as Ending, socket));
  });
  const controller = new AbortController();
  try {
    const port = await listen(server);
    const found = Promise.all(ENDINGS.map((ending) => {
      const socket = new ResetDetectingSocket();
      sockets.push(socket);
      return findEnd(socket, port, ending);
    }));
    const timeout = pause(TIMEOUT, undefined, { signal: controller.signal });
    const ends = await Promise.race([found, timeout.catch(() => undefined)]);
    return ends === undefined
      ? { detection: "unknown", detail: `no ends within ${TIMEOUT} ms` }
      : judgeEnds(ends);
  } catch (error) {
    return { detection: "unknown", detail: String(error) };
  } finally {
    controller.abort();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

function listen(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, HOST, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

function endAs(ending: Ending, socket: Socket): void {
  if (ending === "regular") {
    socket.end(BYTES);
    return;
  }
  socket.write(BYTES);
  if (ending === "reset") socket.resetAndDestroy();
  else setTimeout(() => socket.resetAndDestroy(), RESET_DELAY);
}

type FoundEnd = { ending: Ending; end: ConnectionEnd | undefined };

/** Rejects if connecting fails. */
function findEnd(
  socket: ResetDetectingSocket,
  port: number,
  ending: Ending,
): Promise<FoundEnd> {
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.once("connect", () => {
      socket.off("error", reject);
      socket.on("error", () => {});
      socket.once("close", () => {
        resolve({ ending, end: socket.connectionEnd });
      });
      socket.resume();
      socket.write(ending);
    });
    socket.connect(port, HOST);
  });
}

function judgeEnds(ends: readonly FoundEnd[]): ResetCheckResult {
  const isRight = ends.every(({ ending, end }) =>
    judgeConnectionEnd(end, "shown") === expectedVerdict(ending)
  );
  const detail = ends
    .map(({ ending, end }) => `${ending}: ${JSON.stringify(end ?? "none")}`)
    .join(", ");
  return { detection: isRight ? "shown" : "not_shown", detail };
}

function expectedVerdict(ending: Ending): ConnectionEndVerdict {
  return ending === "regular" ? "regular" : "reset";
}
