/** What both roles of the daemon are built from. @module */
import {
  CallBudget,
  callBudgetOptions,
  HttpInstanceList,
  HttpKeyValueStore,
} from "@sycamorepulley/store";
import { ProcessLifecycle } from "@sycamorepulley/decisions";
import type { Hello } from "@sycamorepulley/protocol";
import { monotonicNow } from "./clock.ts";
import { ConfigurationKeeper } from "./configuration_keeper.ts";
import { helloOf } from "./identity.ts";
import { createLog } from "./log.ts";
import type { Log } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { createRandom } from "./random.ts";
import type { Settings } from "./settings.ts";

/** Parts that outlive every request and link of the process. */
export type ProcessParts = {
  metrics: Metrics;
  log: Log;
  lifecycle: ProcessLifecycle;
  keyValueStore: HttpKeyValueStore;
  instanceList: HttpInstanceList;
  configuration: ConfigurationKeeper;
  startedAt: number;
  random: () => number;
  /** As the process stands now. */
  hello: () => Hello;
};

/** Builds the parts; starts nothing. */
export function createParts(settings: Settings): ProcessParts {
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
  const configuration = new ConfigurationKeeper({
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
    hello: () =>
      helloOf(settings, {
        configurationRevision: configuration.revision,
        leaving: lifecycle.state === "leaving",
      }),
  };
}
