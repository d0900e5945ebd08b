/** Counters and histograms of one gateway, by `prom-client`. @module */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bucket bounds in seconds; dense around the goals of 0.15 to 0.6 s. */
const BUCKETS = [0.002, 0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 5, 15];

/** All metrics of the gateway; their names are part of its interface. */
export class GatewayMetrics {
  readonly registry = new Registry();

  readonly connections = this.#counter(
    "connections_total",
    "Connections accepted from callers",
    [],
  );
  readonly unreadConnections = this.#counter(
    "connections_unread_total",
    "Connections of callers that ended before a request was read",
    [],
  );
  readonly replacedConnections = this.#counter(
    "connections_replaced_total",
    "Connections of callers that were closed for new ones",
    [],
  );
  readonly abandonedRequests = this.#counter(
    "abandoned_total",
    "Requests whose callers had left before they were handled",
    [],
  );
  readonly requests = this.#counter("requests_total", "Requests received", [
    "service",
    "route",
  ]);
  readonly responses = this.#counter("answers_total", "Whole answers sent on", [
    "service",
    "status",
  ]);
  readonly refusals = this.#counter("refusals_total", "Requests not run", [
    "service",
    "reason",
  ]);
  readonly organisationDecisions = this.#counter(
    "organisation_decisions_total",
    "Grants and refusals of the granting entry, by organisation and cause",
    ["service", "organisation", "cause"],
  );
  readonly retries = this.#counter("retries_total", "Requests sent again", [
    "service",
    "reason",
  ]);
  readonly failures = this.#counter(
    "failures_total",
    "Requests that ended without a whole answer",
    ["service", "reason"],
  );
  readonly runsClosed = this.#counter(
    "runs_closed_total",
    "Runs that the gateway ended before their answer was whole",
    ["service", "cause"],
  );
  readonly refusedHeads = this.#counter(
    "refused_heads_total",
    "Requests refused because their headers didn't fit into the memory",
    [],
  );
  readonly closeDelimitedEnds = this.#counter(
    "close_delimited_ends_total",
    "Responses of servers that ended with their connection",
    ["service", "judged"],
  );
  readonly requestsCutAtStop = this.#counter(
    "requests_cut_at_stop_total",
    "Requests at a server that the end of this process ended",
    ["service"],
  );
  readonly hedges = this.#counter(
    "hedges_total",
    "Second runs of requests whose servers were silent",
    ["service", "state"],
  );
  readonly oversizedResponses = this.#counter(
    "oversized_responses_total",
    "Responses with an event or a body larger than the gateway buffers",
    ["service"],
  );
  readonly responsesCutOffWhilePaused = this.#counter(
    "responses_cut_off_paused_total",
    "Responses that servers cut off while their callers did not read",
    ["service"],
  );
  readonly pausedResponses = this.#gauge(
    "paused_responses",
    "Responses that are not read, as their callers do not read",
    [],
  );
  readonly memoryHeld = this.#gauge(
    "memory_held_bytes",
    "What the gateway holds for callers and servers",
    [],
  );
  readonly memoryBudget = this.#gauge(
    "memory_budget_bytes",
    "What the gateway may hold for callers and servers",
    [],
  );
  readonly dependencyChanges = this.#counter(
    "dependency_changes_total",
    "Dependencies lost and regained",
    ["dependency", "change"],
  );
  readonly waitingRequests = this.#gauge(
    "waiting",
    "Requests waiting for a grant",
    [
      "service",
    ],
  );
  readonly runningRequests = this.#gauge(
    "running",
    "Requests at backend servers",
    [
      "service",
    ],
  );
  readonly serverLimit = this.#gauge(
    "server_limit_per_second",
    "Requests a second that a backend server states",
    ["server", "by"],
  );
  readonly serverLimitAge = this.#gauge(
    "server_limit_age_seconds",
    "Time since a stated limit was heard last",
    ["server"],
  );
  readonly unreadableServerLoads = this.#counter(
    "server_load_unreadable_total",
    "Responses whose report of the server's load could not be read",
    [],
  );
  readonly serverPace = this.#gauge(
    "server_pace",
    "How long work takes on a server's machine, by its last report; 1 is usual",
    ["server"],
  );
  readonly serverLoadAge = this.#gauge(
    "server_load_age_seconds",
    "Time since a server's load was reported last",
    ["server"],
  );
  readonly excludedServers = this.#gauge(
    "servers_excluded",
    "Servers that are left out, or get few requests, by cause",
    ["service", "cause"],
  );
  readonly leavingServers = this.#gauge(
    "leaving_servers",
    "Servers that said that they leave, and whose records don't say so yet",
    [],
  );
  readonly serverBackoff = this.#gauge(
    "server_backoff_seconds",
    "Time for which a server wants no requests of this entry",
    ["server"],
  );
  readonly quarantinedRequests = this.#gauge(
    "quarantined_requests",
    "Distinct requests that are refused because they crash backend servers",
    [],
  );
  readonly appointments = this.#counter(
    "appointments_total",
    "Appointments of refused callers that were given, kept, served or lapsed",
    ["service", "state"],
  );
  readonly forecastAge = this.#gauge(
    "forecast_age_seconds",
    "Time since the inputs of a service's capacity forecast were read",
    ["service"],
  );
  readonly coldServers = this.#gauge(
    "server_cold_seconds",
    "Time for which a backend server remains cold according to its record",
    ["server"],
  );
  readonly evacuatedDataCentres = this.#gauge(
    "evacuated",
    "1 for each data centre whose servers get no requests",
    ["data_centre"],
  );
  readonly rolloutShare = this.#gauge(
    "rollout_share",
    "Share of a service's requests that the target of its roll-out may get",
    ["service", "version"],
  );
  readonly rolloutRuns = this.#gauge(
    "rollout_runs",
    "Runs since the order, of the target and of other versions, by result",
    ["service", "route", "version", "result"],
  );
  readonly transferredRequests = this.#counter(
    "transferred_requests_total",
    "Requests sent to servers in another data centre",
    ["service", "from", "to", "cause"],
  );
  readonly transferredBytes = this.#counter(
    "transferred_bytes_total",
    "Expected bytes of these requests and their responses",
    ["service", "from", "to", "cause"],
  );
  readonly slotPrice = this.#gauge(
    "slot_price",
    "Value of a millisecond of a slot in a data centre",
    ["service", "data_centre"],
  );
  readonly balanceSlots = this.#gauge(
    "balance_slots",
    "Slots that callers of a data centre need, and usable slots there",
    ["service", "data_centre", "kind"],
  );
  readonly plannedShare = this.#gauge(
    "planned_share",
    "Part of the demand of a data centre that should be sent to another one",
    ["service", "from", "to"],
  );
  readonly configurationVersion = this.#gauge(
    "configuration_version",
    "Version of the configuration in force",
    [],
  );
  readonly grantWait = this.#histogram("waited_seconds", "Time until a grant");
  readonly timeToFirstByte = this.#histogram(
    "first_byte_seconds",
    "Time until the answer's first byte",
  );
  readonly timeToLastByte = this.#histogram(
    "whole_seconds",
    "Time until the answer's end",
  );

  #counter<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): Counter<Label> {
    const registers = [this.registry];
    return new Counter({
      name: `sycamorepulley_gateway_${name}`,
      help,
      labelNames,
      registers,
    });
  }

  #gauge<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): Gauge<Label> {
    const registers = [this.registry];
    return new Gauge({
      name: `sycamorepulley_gateway_${name}`,
      help,
      labelNames,
      registers,
    });
  }

  #histogram(name: string, help: string): Histogram<"service" | "route"> {
    return new Histogram({
      name: `sycamorepulley_gateway_${name}`,
      help,
      labelNames: ["service", "route"],
      buckets: BUCKETS,
      registers: [this.registry],
    });
  }
}
