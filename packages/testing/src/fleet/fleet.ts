/** Starts and stops a small fleet of real processes on loopback. @module */
import type { ConfigurationObjects } from "@sycamorepulley/configuration";
import { Caller } from "../caller/caller.ts";
import type { RunRecord } from "../history/run_record.ts";
import { TemporaryDirectory } from "../process/temporary_directory.ts";
import { DaemonProcess } from "./daemon_process.ts";
import { entrySettings, sidecarSettings } from "./daemon_settings.ts";
import type { EntryMachine, PlatformSettings } from "./daemon_settings.ts";
import { EmulatedProcess } from "./emulated_process.ts";
import type { EmulatorOptions } from "./emulated_process.ts";
import { EXAMPLE_TOKEN, exampleObjects } from "./example_objects.ts";
import { publishObjects } from "./publish_objects.ts";

/** Options of a backend server that is launched with its sidecar. */
export type BackendOptions = {
  kind: "model" | "plain";
  service: string;
  version: string;
  /** Data centre of the server; by default that of the entries. */
  dataCentre?: string;
  /** Command-line options of the emulator. */
  options?: EmulatorOptions;
};

/** A launched backend server and its sidecar. */
export type LaunchedBackend = {
  /** Name of the server in its responses and history. */
  name: string;
  options: BackendOptions;
  server: EmulatedProcess;
  sidecar: DaemonProcess;
};

/** Options of {@link Fleet.start}. */
export type FleetOptions = {
  /** Number of entries; by default 1. */
  entries?: number;
  backends: BackendOptions[];
  /** Configuration to publish; by default {@link exampleObjects}. */
  objects?: ConfigurationObjects;
  /** The machine of each entry; without limits of its own if absent. */
  machine?: EntryMachine;
};

/** The launched processes; `shutDown` or `kill` ends all of them. */
export class Fleet {
  readonly keyValueStore: EmulatedProcess;
  readonly instanceList: EmulatedProcess;
  readonly entries: DaemonProcess[] = [];
  readonly backends: LaunchedBackend[] = [];
  readonly #directory: TemporaryDirectory;
  readonly #callers: Caller[] = [];

  private constructor(
    directory: TemporaryDirectory,
    keyValueStore: EmulatedProcess,
    instanceList: EmulatedProcess,
  ) {
    this.#directory = directory;
    this.keyValueStore = keyValueStore;
    this.instanceList = instanceList;
  }

  /** Starts the platform, publishes configuration, then starts the daemons. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const [directory, keyValueStore, instanceList] = await Promise.all([
      TemporaryDirectory.create(),
      EmulatedProcess.launch("key-value-store"),
      EmulatedProcess.launch("instance-list"),
    ]);
    const fleet = new Fleet(directory, keyValueStore, instanceList);
    try {
      await fleet.#startDaemons(options);
    } catch (error) {
      await fleet.kill();
      throw error;
    }
    return fleet;
  }

  get platform(): PlatformSettings {
    return {
      keyValueStore: this.keyValueStore.url,
      instanceList: this.instanceList.url,
    };
  }

  /** Launches a backend server and, as soon as it listens, its sidecar. */
  async addBackend(options: BackendOptions): Promise<LaunchedBackend> {
    const number = this.backends.length + 1;
    const name = `${options.service}-server-${number}`;
    const emulator = options.kind === "model" ? "engine" : "plain";
    const server = await EmulatedProcess.launch(emulator, {
      name,
      ...options.options,
    });
    const settings = sidecarSettings(`sidecar-${number}`, this.platform, {
      url: server.url,
      service: options.service,
      version: options.version,
      kind: options.kind,
      healthPath: "/health",
    });
    const { dataCentre = settings.dataCentre } = options;
    const sidecar = await DaemonProcess.launch(
      { ...settings, dataCentre },
      this.#directory,
    );
    const backend = { name, options, server, sidecar };
    this.backends.push(backend);
    return backend;
  }

  /** Launches one more entry. */
  async addEntry(machine?: EntryMachine): Promise<DaemonProcess> {
    const name = `entry-${this.entries.length + 1}`;
    const settings = entrySettings(name, this.platform, machine);
    const entry = await DaemonProcess.launch(settings, this.#directory);
    this.entries.push(entry);
    return entry;
  }

  /** Creates a caller of one entry with the example organisation's token. */
  caller(entry: DaemonProcess | undefined = this.entries[0]): Caller {
    if (entry === undefined) {
      throw new Error("the fleet has no entry to call");
    }
    const caller = new Caller({ url: entry.url, token: EXAMPLE_TOKEN });
    this.#callers.push(caller);
    return caller;
  }

  /** Returns the histories of all backend servers that are still running. */
  async runs(): Promise<RunRecord[]> {
    const histories = await Promise.all(
      this.backends
        .filter(({ server }) => !server.process.hasExited)
        .map(({ server }) => server.records()),
    );
    return histories.flat();
  }

  /** Stops the fleet gracefully, entries first, so that no response is cut. */
  async shutDown(): Promise<void> {
    await Promise.all(this.entries.map(({ process }) => process.stop()));
    await Promise.all(
      this.backends.map(({ sidecar }) => sidecar.process.stop()),
    );
    await this.kill();
  }

  /** Kills every process and removes the settings files. */
  async kill(): Promise<void> {
    await Promise.all(this.#callers.map((caller) => caller.close()));
    const processes = [
      ...this.entries,
      ...this.backends.flatMap(({ sidecar, server }) => [sidecar, server]),
      this.keyValueStore,
      this.instanceList,
    ];
    await Promise.all(processes.map(({ process }) => process.kill()));
    await this.#directory.remove();
  }

  async #startDaemons(options: FleetOptions): Promise<void> {
    const objects = options.objects ?? exampleObjects();
    await publishObjects(this.keyValueStore.url, objects);
    for (const backend of options.backends) {
      await this.addBackend(backend);
    }
    for (let entry = 0; entry < (options.entries ?? 1); entry++) {
      await this.addEntry(options.machine);
    }
    const daemons = [
      ...this.backends.map(({ sidecar }) => sidecar),
      ...this.entries,
    ];
    await Promise.all(daemons.map((daemon) => daemon.waitUntilReady()));
  }
}
