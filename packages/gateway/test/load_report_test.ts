import t from "tap";
import { EventLog } from "../src/mod.ts";
import { LoadReport } from "../src/observe/load_report.ts";
import { GatewayMetrics } from "../src/observe/metrics.ts";
import { SharedServerLimits } from "../src/peers/shared_server_limits.ts";
import type { GrantClient } from "../src/peers/grant_client.ts";
import { RecordingSink } from "./recording_sink.ts";

t.test("the gauges show a server limit, the entry that observed it, and its age", async (t) => {
  let now = 1000;
  const clock = () => now;
  const instance = "entry-1";
  const log = new EventLog({ instance, sink: new RecordingSink(), clock });
  const limits = new SharedServerLimits({ instance, clock, log, send() {} });
  const metrics = new GatewayMetrics();
  const grantClient = {
    limits,
    loads: () => [{ service: "calls", waiting: 3, running: 2 }],
  } as unknown as GrantClient;
  const report = new LoadReport({
    grantClient,
    log,
    metrics,
    totalShares: () => 1,
  });
  limits.observe("s@1", "2.4", 900);
  now = 3500;
  report.updateGauges();
  const exposition = await metrics.registry.metrics();
  const prefix = "sycamorepulley_gateway_server_limit";
  t.match(exposition, `${prefix}_per_second{server="s@1",by="entry-1"} 2.4`);
  t.match(exposition, `${prefix}_age_seconds{server="s@1"} 2.5`);
  t.match(exposition, `waiting{service="calls"} 3`);
  limits.observe("s@1", undefined, 2000);
  report.updateGauges();
  t.notMatch(await metrics.registry.metrics(), `${prefix}_per_second{`);
});
