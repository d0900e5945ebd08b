/** Runs an emulated server as a process. @module */
import type { FaultsInput, HistoryRecord } from "@sycamorepulley/emulator";
import { request } from "undici";
import { LaunchedProcess } from "../process/launched_process.ts";
import { EMULATOR_PROGRAM } from "../process/programs.ts";

/** The emulators that can be launched. */
export type EmulatorName =
  | "engine"
  | "plain"
  | "key-value-store"
  | "instance-list";

/** Options of an emulator, under the names of its settings. */
export type EmulatorOptions = Record<string, string | number>;

/** A launched emulator that is listening. */
export class EmulatedProcess {
  readonly process: LaunchedProcess;
  readonly url: string;

  private constructor(process: LaunchedProcess, url: string) {
    this.process = process;
    this.url = url;
  }

  /** Launches an emulator and waits until it listens. */
  static async launch(
    emulator: EmulatorName,
    options: EmulatorOptions = {},
  ): Promise<EmulatedProcess> {
    const process = new LaunchedProcess(emulator, [
      EMULATOR_PROGRAM,
      emulator,
      ...Object.entries(options).map(([name, value]) =>
        `--${toKebabCase(name)}=${value}`
      ),
    ]);
    const ready = await process.waitForMessage("ready");
    return new EmulatedProcess(process, String(ready["url"]));
  }

  /** Returns the history of a backend server. */
  async records(): Promise<HistoryRecord[]> {
    const response = await request(`${this.url}/history`);
    const { records } = await response.body.json() as {
      records: HistoryRecord[];
    };
    return records;
  }

  /** Replaces the faults of a backend server. */
  async setFaults(faults: FaultsInput): Promise<void> {
    await this.putFaults(faults);
  }

  /** Replaces the faults of any emulator. */
  async putFaults(faults: Record<string, unknown>): Promise<void> {
    const response = await request(`${this.url}/faults`, {
      method: "PUT",
      body: JSON.stringify(faults),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new Error(`emulator rejected the faults: ${text}`);
    }
  }
}

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
