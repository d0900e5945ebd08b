import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { GatewayPorts } from "../src/mod.ts";

/** Milliseconds between readings of the memory of a process that has started. */
const READING_INTERVAL = 100;
/** Readings in a row without growth after which a start is over. */
const STEADY_READINGS = 10;
/** Bytes of growth between two readings that an idle gateway doesn't exceed. */
const IDLE_GROWTH = 256 * 1024;

/** A gateway in a process of its own, so that its memory can be measured. */
export class LaunchedGateway {
  readonly #child: ChildProcess;
  readonly ports: GatewayPorts;

  private constructor(child: ChildProcess, ports: GatewayPorts) {
    this.#child = child;
    this.ports = ports;
  }

  /**
   * Starts a gateway whose servers all listen on one port. `memoryMegabytes`: its
   * setting of this name, and the bounds of the heap that deployments have.
   */
  static async start(
    serverPort: number,
    memoryMegabytes?: number,
  ): Promise<LaunchedGateway> {
    const program = new URL("./gateway_process.ts", import.meta.url);
    const programArguments = [String(serverPort)];
    const execArgv = [...process.execArgv];
    if (memoryMegabytes !== undefined) {
      programArguments.push(String(memoryMegabytes));
      execArgv.push("--max-old-space-size=110", "--max-semi-space-size=4");
    }
    const child = fork(program, programArguments, { execArgv });
    const [ports] = await once(child, "message") as [GatewayPorts];
    return new LaunchedGateway(child, ports);
  }

  /** True once the process has ended, also by itself. */
  get hasExited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Resident memory in bytes. */
  residentMemory(): number {
    const status = readFileSync(`/proc/${this.#child.pid}/status`, "utf8");
    const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
    return Number(kilobytes) * 1024;
  }

  /**
   * Resident memory in bytes once the process has started. The threads that load
   * its modules still allocate memory after the gateway is ready.
   */
  async idleMemory(): Promise<number> {
    let last = this.residentMemory();
    for (let steady = 0; steady < STEADY_READINGS;) {
      await sleep(READING_INTERVAL);
      const memory = this.residentMemory();
      steady = memory - last > IDLE_GROWTH ? 0 : steady + 1;
      last = memory;
    }
    return last;
  }

  async stop(): Promise<void> {
    const exited = once(this.#child, "exit");
    this.#child.disconnect();
    await exited;
  }
}
