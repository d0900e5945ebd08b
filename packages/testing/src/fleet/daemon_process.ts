/** A daemon as a process. @module */
import { request } from "undici";
import type { Dispatcher } from "undici";
import { LaunchedProcess } from "../process/launched_process.ts";
import { DAEMON_PROGRAM } from "../process/programs.ts";
import type { TemporaryDirectory } from "../process/temporary_directory.ts";
import { waitFor } from "../process/wait_for.ts";
import type { DaemonSettings } from "./daemon_settings.ts";

/** Milliseconds until a daemon that does not answer fails the test. */
const STATUS_TIMEOUT = 10_000;

/** A launched daemon that listens. */
export class DaemonProcess {
  readonly process: LaunchedProcess;
  readonly settings: DaemonSettings;
  readonly #ports: Record<string, unknown>;

  private constructor(
    process: LaunchedProcess,
    settings: DaemonSettings,
    ports: Record<string, unknown>,
  ) {
    this.process = process;
    this.settings = settings;
    this.#ports = ports;
  }

  /** Launches a daemon and waits until it listens. */
  static async launch(
    settings: DaemonSettings,
    directory: TemporaryDirectory,
  ): Promise<DaemonProcess> {
    const file = await directory.write(
      `${settings.instance}.jsonc`,
      JSON.stringify(settings, undefined, 2),
    );
    const process = launchDaemon(file);
    const ready = await process.waitForMessage("ready");
    const ports = ready["context"] as Record<string, unknown>;
    return new DaemonProcess(process, settings, ports);
  }

  /** URL for callers of an entry. */
  get url(): string {
    return this.#urlOf("httpPort");
  }

  /** URL of `/metrics`, `/healthz`, `/readyz` and `/status`. */
  get statusUrl(): string {
    return this.#urlOf("statusPort");
  }

  get protocolPort(): number {
    return Number(this.#ports["protocolPort"]);
  }

  /** Waits until the daemon says that it can serve. */
  async waitUntilReady(): Promise<void> {
    await waitFor(`${this.settings.instance} to be ready`, async () => {
      const answer = await this.#get("readyz");
      await answer.body.dump();
      return answer.statusCode === 200;
    });
  }

  /** What `/status` says. */
  async status(): Promise<Record<string, unknown>> {
    const answer = await this.#get("status");
    return await answer.body.json() as Record<string, unknown>;
  }

  /** The metrics whose values are not 0, by name and labels. */
  async metrics(): Promise<Map<string, number>> {
    const answer = await this.#get("metrics");
    return parseMetrics(await answer.body.text());
  }

  #get(path: string): Promise<Dispatcher.ResponseData> {
    return request(`${this.statusUrl}/${path}`, {
      headersTimeout: STATUS_TIMEOUT,
      bodyTimeout: STATUS_TIMEOUT,
    });
  }

  #urlOf(port: string): string {
    return `http://127.0.0.1:${this.#ports[port]}`;
  }
}

/** Starts a daemon without waiting for anything. */
export function launchDaemon(settingsFile: string): LaunchedProcess {
  return new LaunchedProcess("sycamorepulleyd", [
    DAEMON_PROGRAM,
    "--settings",
    settingsFile,
  ]);
}

function parseMetrics(text: string): Map<string, number> {
  const metrics = new Map<string, number>();
  for (const line of text.split("\n")) {
    const space = line.lastIndexOf(" ");
    const value = Number(line.slice(space + 1));
    if (!line.startsWith("#") && space > 0 && value !== 0) {
      metrics.set(line.slice(0, space), value);
    }
  }
  return metrics;
}
