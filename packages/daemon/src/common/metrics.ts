/** Prometheus metrics of one process, by `prom-client`. @module */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { collectDefaultMetrics } from "prom-client";

/** Upper bounds of the buckets for the time to the first byte, in seconds. */
const FIRST_BYTE_BUCKETS = [
  0.001,
  0.005,
  0.02,
  0.1,
  0.3,
  1,
  1.3,
  3,
  10,
  30,
  120,
];

/** All metrics of the daemon; their names are part of its interface. */
export class Metrics {
  readonly registry = new Registry();

  readonly requests = this.#counter(
    "requests_total",
    "Requests received",
    ["service", "tier"],
  );
  readonly refusedHeads = this.#counter(
    "refused_heads_total",
    "Requests refused because their headers didn't fit into the memory",
    [],
  );
  readonly replacedConnections = this.#counter(
    "connections_replaced_total",
    "Connections of callers that were closed for new ones",
    [],
  );
  readonly answers = this.#counter(
    "answers_total",
    "Requests answered whole",
    ["service", "tier"],
  );
  readonly refusals = this.#counter(
    "refusals_total",
    "Requests refused or failed, by reason and whether they ran",
    ["service", "tier", "reason", "ran"],
  );
  readonly retries = this.#counter(
    "placement_retries_total",
    "Reservations placed again, by reason",
    ["service", "reason"],
  );
  readonly reservations = this.#counter(
    "reservations_total",
    "Reservations sent (entry) or received (sidecar)",
    ["service"],
  );
  readonly reservationRefusals = this.#counter(
    "reservation_refusals_total",
    "Reservations refused by a sidecar, by reason",
    ["service", "reason"],
  );
  readonly grants = this.#counter("grants_total", "Grants, by outcome", [
    "service",
    "outcome",
  ]);
  readonly ignoredMessages = this.#counter(
    "messages_ignored_total",
    "Messages for a reservation that is unknown or over",
    ["type"],
  );
  readonly linkErrors = this.#counter(
    "link_errors_total",
    "Links closed for an error",
    ["step", "reason"],
  );
  readonly linkTraffic = this.#counter(
    "link_bytes_total",
    "Bytes over links, by direction",
    ["direction"],
  );
  readonly platformErrors = this.#counter(
    "platform_errors_total",
    "Failed calls to the platform",
    ["step", "reason"],
  );
  readonly waiting = this.#gauge("waiting", "Requests waiting", ["service"]);
  readonly running = this.#gauge("running", "Requests running", ["service"]);
  readonly limit = this.#gauge("limit", "Requests that may run at once", [
    "service",
  ]);
  readonly links = this.#gauge("links", "Open links", []);
  readonly configurationRevision = this.#gauge(
    "configuration_revision",
    "Revision of the configuration in force",
    [],
  );
  readonly firstByte = new Histogram({
    name: "sycamorepulley_first_byte_seconds",
    help: "Time from a request's arrival to its answer's first byte",
    labelNames: ["service", "tier"],
    buckets: FIRST_BYTE_BUCKETS,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.registry });
  }

  #counter<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): Counter<Label> {
    return new Counter({
      name: `sycamorepulley_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  #gauge<Label extends string>(
    name: string,
    help: string,
    labelNames: Label[],
  ): Gauge<Label> {
    return new Gauge({
      name: `sycamorepulley_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }
}

/** Returns the sums of a counter's values for each value of one label. */
export async function sumByLabel(
  counter: Counter<string>,
  label: string,
): Promise<Record<string, number>> {
  const sums: Record<string, number> = {};
  for (const { labels, value } of (await counter.get()).values) {
    const key = String(labels[label]);
    sums[key] = (sums[key] ?? 0) + value;
  }
  return sums;
}
