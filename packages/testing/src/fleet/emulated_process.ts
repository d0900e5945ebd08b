/** An emulated server as a process. @module */
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

/** Options of an emulator, named as its settings. */
export type EmulatorOptions = Record<string, string | number>;

/** A launched emulator that listens. */
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
        `--${hyphenated(name)}=${value}`
      ),
    ]);
    const ready = await process.waitForMessage("ready");
    return new EmulatedProcess(process, String(ready["url"]));
  }

  /** Requests that a backend server has seen. */
  async records(): Promise<HistoryRecord[]> {
    const answer = await request(`${this.url}/history`);
    const { records } = await answer.body.json() as {
      records: HistoryRecord[];
    };
    return records;
  }

  /** Sets a backend server's faults. */
  async setFaults(faults: FaultsInput): Promise<void> {
    await this.putFaults(faults);
  }

  /** Replaces the fault switches of any emulator. */
  async putFaults(faults: Record<string, unknown>): Promise<void> {
    const answer = await request(`${this.url}/faults`, {
      method: "PUT",
      body: JSON.stringify(faults),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new Error(`faults were not taken: ${text}`);
    }
  }
}

function hyphenated(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
