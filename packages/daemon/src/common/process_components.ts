/** Components that both roles of the daemon use. @module */
import {
  CallBudget,
  callBudgetOptions,
  HttpInstanceList,
  HttpKeyValueStore,
} from "@sycamorepulley/store";
import { ProcessLifecycle } from "@sycamorepulley/decisions";
import type { HelloMessage } from "@sycamorepulley/protocol";
import { monotonicNow } from "./clock.ts";
import { ConfigurationSync } from "./configuration_sync.ts";
import { createHello } from "./identity.ts";
import { createLog } from "./log.ts";
import type { Log } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { createRandom } from "./random.ts";
import type { Settings } from "./settings.ts";

/** Components that live as long as the process. */
export type ProcessComponents = {
  metrics: Metrics;
  log: Log;
  lifecycle: ProcessLifecycle;
  keyValueStore: HttpKeyValueStore;
  instanceList: HttpInstanceList;
  configuration: ConfigurationSync;
  /** Monotonic time in milliseconds at which the process started. */
  startedAt: number;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Creates a hello message with the process's current state. */
  createHello: () => HelloMessage;
};

/** Creates the components without starting them. */
export function createComponents(settings: Settings): ProcessComponents {
  const { platform } = settings;
  const metrics = new Metrics();
  const log = createLog(settings);
  const lifecycle = new ProcessLifecycle();
  const keyValueStore = new HttpKeyValueStore({
    url: platform.keyValueStore,
    budget: new CallBudget(callBudgetOptions(platform.fleetSize)),
    clock: monotonicNow,
  });
  const instanceList = new HttpInstanceList({ url: platform.instanceList });
  const random = createRandom();
  const configuration = new ConfigurationSync({
    store: keyValueStore,
    fleetSize: platform.fleetSize,
    random,
    metrics,
    log,
  });
  return {
    metrics,
    log,
    lifecycle,
    keyValueStore,
    instanceList,
    configuration,
    startedAt: monotonicNow(),
    random,
    createHello: () =>
      createHello(settings, {
        configurationRevision: configuration.revision,
        leaving: lifecycle.state === "leaving",
      }),
  };
}
