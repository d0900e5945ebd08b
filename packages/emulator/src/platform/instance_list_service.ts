/**
 * The emulated instance list of docs/platform-protocol.md, with lags.
 * @module
 */
import { instanceSchema } from "@sycamorepulley/store";
import * as v from "valibot";
import { instanceListFaultsSchema } from "./platform_faults.ts";
import { jsonResponse, parseJson } from "./service_calls.ts";
import { FaultInjectingServer } from "./fault_injecting_server.ts";
import type { StartedService, StartOptions } from "./fault_injecting_server.ts";
import { LaggingInstanceList } from "./lagging_instance_list.ts";

/** Starts the service; its `close` also closes open connections. */
export function startInstanceList(
  options: StartOptions = {},
): Promise<StartedService> {
  const server = new FaultInjectingServer(instanceListFaultsSchema);
  const instances = new LaggingInstanceList();
  server.addServiceRoute("get", "/instances", () => {
    const { leaveLag } = server.faults;
    const list = instances.list({ now: performance.now(), leaveLag });
    return jsonResponse(200, { instances: list });
  });
  server.addServiceRoute("put", "/instances/:name", (call) => {
    const instance = v.safeParse(instanceSchema, parseJson(call.body));
    if (!instance.success || instance.output.name !== call.name) {
      return jsonResponse(400, {
        problem: "body must be an instance with the name given in the path",
      });
    }
    const { appearLag, leaveLag } = server.faults;
    const lag = instances.has(call.name) ? leaveLag : appearLag;
    instances.register(instance.output, { now: performance.now(), lag });
    return { status: 204 };
  });
  server.addServiceRoute("delete", "/instances/:name", (call) => {
    const lag = server.faults.leaveLag;
    instances.deregister(call.name, { now: performance.now(), lag });
    return { status: 204 };
  });
  return server.listen(options);
}
