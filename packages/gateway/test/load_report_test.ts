import t from "tap";
import { EventLog } from "../src/mod.ts";
import { LoadReport } from "../src/observe/load_report.ts";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { SharedServerLimits } from "../src/peers/shared_server_limits.ts";
import type { Granter } from "../src/peers/granter.ts";
import { Recorded } from "./recorded.ts";

t.test("the gauges show a limit, whose word it is and its age", async (t) => {
  let now = 1000;
  const clock = () => now;
  const instance = "entry-1";
  const log = new EventLog({ instance, sink: new Recorded(), clock });
  const limits = new SharedServerLimits({ instance, clock, log, tell() {} });
  const metrics = new GatewayMetrics();
  const granter = {
    limits,
    loads: () => [{ service: "calls", waiting: 3, running: 2 }],
  } as unknown as Granter;
  const report = new LoadReport({ granter, log, metrics, shares: () => 1 });
  limits.heard("s@1", "2.4", 900);
  now = 3500;
  report.refresh();
  const shown = await metrics.registry.metrics();
  const prefix = "sycamorepulley_gateway_server_limit";
  t.match(shown, `${prefix}_per_second{server="s@1",by="entry-1"} 2.4`);
  t.match(shown, `${prefix}_age_seconds{server="s@1"} 2.5`);
  t.match(shown, `waiting{service="calls"} 3`);
  limits.heard("s@1", undefined, 2000);
  report.refresh();
  t.notMatch(await metrics.registry.metrics(), `${prefix}_per_second{`);
});
