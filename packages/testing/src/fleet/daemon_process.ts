/** Runs a daemon as a process. @module */
import { request } from "undici";
import type { Dispatcher } from "undici";
import { LaunchedProcess } from "../process/launched_process.ts";
import { DAEMON_PROGRAM } from "../process/programs.ts";
import type { TemporaryDirectory } from "../process/temporary_directory.ts";
import { waitFor } from "../process/wait_for.ts";
import type { DaemonSettings } from "./daemon_settings.ts";

/** Milliseconds after which a daemon that does not respond fails the test. */
const STATUS_TIMEOUT = 10_000;

/** A launched daemon that is listening. */
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

  /** URL of an entry for its callers. */
  get url(): string {
    return this.#urlOfPort("httpPort");
  }

  /** Base URL of `/metrics`, `/healthz`, `/readyz` and `/status`. */
  get statusUrl(): string {
    return this.#urlOfPort("statusPort");
  }

  get protocolPort(): number {
    return Number(this.#ports["protocolPort"]);
  }

  /** Waits until `/readyz` reports that the daemon is ready. */
  async waitUntilReady(): Promise<void> {
    await waitFor(`${this.settings.instance} to be ready`, async () => {
      const response = await this.#get("readyz");
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  /** Returns the document of `/status`. */
  async status(): Promise<Record<string, unknown>> {
    const response = await this.#get("status");
    return await response.body.json() as Record<string, unknown>;
  }

  /** Returns the values of all metrics that are not 0, by name and labels. */
  async metrics(): Promise<Map<string, number>> {
    const response = await this.#get("metrics");
    return parseMetrics(await response.body.text());
  }

  #get(path: string): Promise<Dispatcher.ResponseData> {
    return request(`${this.statusUrl}/${path}`, {
      headersTimeout: STATUS_TIMEOUT,
      bodyTimeout: STATUS_TIMEOUT,
    });
  }

  #urlOfPort(port: string): string {
    return `http://127.0.0.1:${this.#ports[port]}`;
  }
}

/** Starts a daemon without waiting until it listens. */
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
