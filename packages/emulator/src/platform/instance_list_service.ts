/** The emulated instance list of docs/platform-protocol.md, with a lag. @module */
import { instanceSchema } from "@sycamorepulley/store";
import * as v from "valibot";
import { listFaultsSchema } from "./faults.ts";
import { json, parseJson } from "./answers.ts";
import { FaultyServer } from "./faulty_server.ts";
import type { StartedServer, StartOptions } from "./faulty_server.ts";
import { LaggingInstances } from "./lagging_instances.ts";

/** Starts the list; `close` cuts the connections that are open. */
export function startInstanceList(
  options: StartOptions = {},
): Promise<StartedServer> {
  const server = new FaultyServer(listFaultsSchema);
  const instances = new LaggingInstances();
  server.serve("get", "/instances", () => {
    const { leaveLag } = server.faults;
    const list = instances.list({ now: performance.now(), leaveLag });
    return json(200, { instances: list });
  });
  server.serve("put", "/instances/:name", (call) => {
    const instance = v.safeParse(instanceSchema, parseJson(call.body));
    if (!instance.success || instance.output.name !== call.name) {
      return json(400, { problem: "send the named instance" });
    }
    const { appearLag, leaveLag } = server.faults;
    const lag = instances.has(call.name) ? leaveLag : appearLag;
    instances.register(instance.output, { now: performance.now(), lag });
    return { status: 204 };
  });
  server.serve("delete", "/instances/:name", (call) => {
    const lag = server.faults.leaveLag;
    instances.deregister(call.name, { now: performance.now(), lag });
    return { status: 204 };
  });
  return server.listen(options);
}
