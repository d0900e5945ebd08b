/**
 * Node.js processes that tests start. They are ended by their own handles only,
 * never by name.
 * @module
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { waitFor } from "./wait_for.ts";

/** Exit code or signal of a process that has ended. */
export type ProcessExit = {
  code: number | null;
  signal: NodeJS.Signals | null;
};

/** A line of JSON output, such as a log line, parsed. */
export type OutputMessage = Record<string, unknown>;

const runningProcesses = new Set<ChildProcess>();
// Otherwise a test that throws at its top level would leave processes running.
process.once(
  "exit",
  () => runningProcesses.forEach((child) => child.kill("SIGKILL")),
);

/** A started process and its output. */
export class LaunchedProcess {
  readonly exited: Promise<ProcessExit>;
  readonly #name: string;
  readonly #child: ChildProcess;
  readonly #outputLines: string[] = [];
  #exit: ProcessExit | undefined;

  /** Starts `node` with these arguments; `name` is for error messages. */
  constructor(name: string, nodeArguments: string[]) {
    this.#name = name;
    this.#child = spawn(process.execPath, nodeArguments, {
      stdio: ["ignore", "pipe", "pipe"],
      // A process group of its own: Ctrl-C in a terminal only reaches the
      // launcher, which then stops its processes in order.
      detached: true,
      env: { ...process.env, ROARR_LOG: "true", NODE_OPTIONS: "" },
    });
    runningProcesses.add(this.#child);
    this.#collectOutput(this.#child.stdout);
    this.#collectOutput(this.#child.stderr);
    this.exited = this.#waitForExit();
  }

  get processId(): number {
    return this.#child.pid ?? 0;
  }

  /** All output so far, of standard output and standard error. */
  get output(): string {
    return this.#outputLines.join("\n");
  }

  get hasExited(): boolean {
    return this.#exit !== undefined;
  }

  /** Waits for the first JSON line whose member `message` has this value. */
  waitForMessage(message: string): Promise<OutputMessage> {
    return waitFor(`output "${message}" of ${this.#name}`, () => {
      const line = this.#parseMessages().find((line) =>
        line["message"] === message
      );
      if (line === undefined && this.hasExited) {
        throw new Error(`${this.#name} exited without the output "${message}":
${this.output}`);
      }
      return line;
    });
  }

  /** Sends SIGTERM and waits until the process has exited. */
  stop(): Promise<ProcessExit> {
    return this.#endWithSignal("SIGTERM");
  }

  /** Sends SIGKILL and waits until the process has exited. */
  kill(): Promise<ProcessExit> {
    return this.#endWithSignal("SIGKILL");
  }

  /** Sends a signal without waiting for the process to exit. */
  sendSignal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  #endWithSignal(signal: NodeJS.Signals): Promise<ProcessExit> {
    if (!this.hasExited) {
      this.#child.kill(signal);
    }
    return this.exited;
  }

  async #waitForExit(): Promise<ProcessExit> {
    const [code, signal] = await once(this.#child, "close") as [
      number | null,
      NodeJS.Signals | null,
    ];
    runningProcesses.delete(this.#child);
    this.#exit = { code, signal };
    return this.#exit;
  }

  #collectOutput(stream: Readable | null): void {
    if (stream !== null) {
      createInterface(stream).on(
        "line",
        (line) => this.#outputLines.push(line),
      );
    }
  }

  #parseMessages(): OutputMessage[] {
    return this.#outputLines.flatMap((line) => {
      try {
        const parsed: unknown = JSON.parse(line);
        return isOutputMessage(parsed) ? [parsed] : [];
      } catch {
        return [];
      }
    });
  }
}

function isOutputMessage(value: unknown): value is OutputMessage {
  return typeof value === "object" && value !== null;
}
