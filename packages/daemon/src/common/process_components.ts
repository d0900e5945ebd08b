/** What both roles of the daemon are built from. @module */
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
import { helloOf } from "./identity.ts";
import { createLog } from "./log.ts";
import type { Log } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { createRandom } from "./random.ts";
import type { Settings } from "./settings.ts";

/** Parts that outlive every request and link of the process. */
export type ProcessComponents = {
  metrics: Metrics;
  log: Log;
  lifecycle: ProcessLifecycle;
  keyValueStore: HttpKeyValueStore;
  instanceList: HttpInstanceList;
  configuration: ConfigurationSync;
  startedAt: number;
  random: () => number;
  /** As the process stands now. */
  createHello: () => HelloMessage;
};

/** Builds the parts; starts nothing. */
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
      helloOf(settings, {
        configurationRevision: configuration.revision,
        leaving: lifecycle.state === "leaving",
      }),
  };
}
