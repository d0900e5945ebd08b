import { ServerLimits } from "@sycamorepulley/decisions";
import type { ServerRecord } from "@sycamorepulley/decisions";
import t from "tap";
import type { ParsedRequest } from "../src/front/parsed_request.ts";
import type { CallerConnection } from "../src/request/caller_connection.ts";
import type { RequestContext } from "../src/request/request_context.ts";
import { DrainAdmission } from "../src/request/drain_admission.ts";
import { RequestTask } from "../src/request/request_task.ts";
import { route } from "./fixture.ts";

const SERVER: ServerRecord = {
  id: "s1",
  startedAt: 1,
  service: "calls",
  host: "127.0.0.1",
  port: 1,
  dataCentre: "a",
  version: "v1",
  slots: 4,
  draining: false,
};

t.test("a grant that arrives after the deadline is withdrawn", async (t) => {
  // A late grant, or one after a disconnect, would occupy its slot for ever.
  let now = 0;
  const withdrawn: string[] = [];
  const errorStatuses: number[] = [];
  const context = {
    headerNames: { requestId: "x-request" },
    clock: () => now,
    random: () => 0,
    log: { write: () => {} },
    metrics: {
      grantWait: { observe: () => {} },
      refusals: { inc: () => {} },
    },
    drainAdmission: new DrainAdmission(),
    grantClient: {
      submit: () => {
        const grant = { kind: "grant", server: "s1@1", by: "entry-1" };
        const result = Promise.resolve(grant).then((grant) => {
          now = 2000;
          return grant;
        });
        return { id: "ask-1", result };
      },
      withdraw: (id: string) => withdrawn.push(id),
      limits: { known: new ServerLimits() },
      suspects: { verdict: () => ({ kind: "clear" }) },
    },
    activeConfiguration: () => undefined,
    findServer: () => SERVER,
  } as unknown as RequestContext;
  const caller = {
    disconnected: false,
    responseStarted: false,
    sendError: (status: number) => errorStatuses.push(status),
  } as unknown as CallerConnection;
  const parsed = {
    requestId: "r",
    promptParts: [],
    forwardedHeaders: [],
    arrivedAt: 0,
  } as unknown as ParsedRequest;
  const resolved = {
    route: route(),
    service: "calls",
    organisation: "",
    tierRank: 0,
    routeRank: 0,
    cost: { promptTokens: 0, outputTokens: 1 },
    charge: 0,
    deadline: 1000,
    homeRegions: undefined,
  };
  await new RequestTask({ context, parsed, resolved, caller, body: undefined })
    .run();
  t.same(withdrawn, ["ask-1"]);
  t.same(errorStatuses, [503], "the status says that it has not run");
});
