/** The configuration of a small deployment: a model and a booking service. */
export const HOST = "ficu95.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";

const route = (name, prefix, service, fields) => ({
  name,
  host: HOST,
  prefix,
  service,
  public: false,
  priority: 2,
  ...fields,
});

export const ROUTES = {
  quote: { path: "/lohu930/2f", streaming: true, usage: "1460,240", deadline: 15000 },
  check: { path: "/zota118/2f", streaming: true, usage: "1800,24", deadline: 3000 },
  book: { path: "/puxa403/2f", deadline: 1000 },
  look: { path: "/cufi504/fi50/2f", method: "GET", deadline: 1000 },
};

export function configuration(version = 7) {
  return {
    version,
    routes: [
      route("r-quote", "/lohu930/", "quote-drafter", { routeKind: "streaming", timeoutMs: 15000, targetLatencyMs: 600, priority: 0, maxAttempts: 2, resumeStreams: true, targetGapMs: 300, sticky: true }),
      route("r-check", "/zota118/", "quote-drafter", { routeKind: "streaming", timeoutMs: 3000, targetLatencyMs: 400, maxAttempts: 1, resumeStreams: false, targetGapMs: 300, sticky: true }),
      route("r-book", "/puxa403/", "bookings", { routeKind: "non_idempotent", timeoutMs: 1000, targetLatencyMs: 121, maxAttempts: 1 }),
      route("r-look", "/cufi504/", "bookings", { routeKind: "idempotent", timeoutMs: 1000, targetLatencyMs: 121, maxAttempts: 2 }),
    ],
    services: [
      { name: "quote-drafter", healthPath: "/health", maxConnections: 360, engine: { slots: 11, kvCapacityTokens: 549505, strideSize: 6 } },
      { name: "bookings", healthPath: "/health", maxConnections: 100 },
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 5000, idleTimeoutMs: 10000 },
    tenants: [
      { name: "hule930", apiKeys: [KEY], ratePerS: 200000, burstSize: 400000, unit: "token_count", plainTokens: 200 },
    ],
  };
}
