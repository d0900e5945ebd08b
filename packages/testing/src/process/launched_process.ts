/** Node.js processes started by tests, and ended by their own handle only. @module */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { waitFor } from "./wait_for.ts";

/** How a process ended. */
export type ProcessExit = {
  code: number | null;
  signal: NodeJS.Signals | null;
};

/** A log line or ready line, parsed. */
export type OutputLine = Record<string, unknown>;

const running = new Set<ChildProcess>();
// A test that throws at its top level would leave its processes behind.
process.once("exit", () => running.forEach((child) => child.kill("SIGKILL")));

/** One running process with its output. */
export class LaunchedProcess {
  readonly exited: Promise<ProcessExit>;
  readonly #name: string;
  readonly #child: ChildProcess;
  readonly #output: string[] = [];
  #end: ProcessExit | undefined;

  /** Starts `node` with these arguments. */
  constructor(name: string, nodeArguments: string[]) {
    this.#name = name;
    this.#child = spawn(process.execPath, nodeArguments, {
      stdio: ["ignore", "pipe", "pipe"],
      // In a group of its own: Ctrl-C at a terminal reaches the launcher only,
      // which stops its processes in order.
      detached: true,
      env: { ...process.env, ROARR_LOG: "true", NODE_OPTIONS: "" },
    });
    running.add(this.#child);
    this.#collect(this.#child.stdout);
    this.#collect(this.#child.stderr);
    this.exited = this.#waitForEnd();
  }

  get processId(): number {
    return this.#child.pid ?? 0;
  }

  /** Everything written so far, standard output and error alike. */
  get output(): string {
    return this.#output.join("\n");
  }

  get hasExited(): boolean {
    return this.#end !== undefined;
  }

  /** The first JSON line with this `message`, once it is written. */
  waitForMessage(message: string): Promise<OutputLine> {
    return waitFor(`"${message}" of ${this.#name}`, () => {
      const line = this.#lines().find((line) => line["message"] === message);
      if (line === undefined && this.hasExited) {
        throw new Error(`${this.#name} ended before it said "${message}":
${this.output}`);
      }
      return line;
    });
  }

  /** Asks the process to stop and waits until it has. */
  stop(): Promise<ProcessExit> {
    return this.#signal("SIGTERM");
  }

  /** Ends the process at once. */
  kill(): Promise<ProcessExit> {
    return this.#signal("SIGKILL");
  }

  /** Sends a signal without waiting. */
  sendSignal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  #signal(signal: NodeJS.Signals): Promise<ProcessExit> {
    if (!this.hasExited) {
      this.#child.kill(signal);
    }
    return this.exited;
  }

  async #waitForEnd(): Promise<ProcessExit> {
    const [code, signal] = await once(this.#child, "close") as [
      number | null,
      NodeJS.Signals | null,
    ];
    running.delete(this.#child);
    this.#end = { code, signal };
    return this.#end;
  }

  #collect(stream: Readable | null): void {
    if (stream !== null) {
      createInterface(stream).on("line", (line) => this.#output.push(line));
    }
  }

  #lines(): OutputLine[] {
    return this.#output.flatMap((line) => {
      try {
        const parsed: unknown = JSON.parse(line);
        return isOutputLine(parsed) ? [parsed] : [];
      } catch {
        return [];
      }
    });
  }
}

function isOutputLine(value: unknown): value is OutputLine {
  return typeof value === "object" && value !== null;
}
