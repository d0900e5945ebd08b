/** A small deployment: store, engines, gateways and one tenant's requesters. */
import { setTimeout as sleep } from "node:timers/promises";
import { Engine, streamAnswer } from "./engine.mjs";
import { BOUNDS, freePorts, Gateway, removeSettings } from "./gateway.mjs";
import { attemptId, keptChannels, send } from "./requester.mjs";
import { Store } from "./store.mjs";

const SERVICE = "huvo11a";
export const HOST = "ficu95.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";
const TENANT = {
  name: "hule930",
  apiKeys: [KEY],
  priority: 1,
  unit: "token_count",
  plainTokens: 200,
  ratePerS: 20_000,
  burstSize: 20_000,
};
/** Prompt tokens and largest output of each request. */
const USAGE = [400, 1600];

function configuration(route) {
  return {
    version: 7,
    routes: [{ ...STREAM_ROUTE, ...route }],
    services: [{
      name: SERVICE,
      healthPath: "/health",
      maxConnections: 300,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 12,
        kvCapacityTokens: 726_952,
        strideSize: 6,
        models: [{ name: "m" }],
      },
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [TENANT],
  };
}

const STREAM_ROUTE = {
  name: "r-828m82t",
  host: HOST,
  prefix: "/pufi791/",
  routeKind: "streaming",
  timeoutMs: 12_000,
  targetLatencyMs: 600,
  priority: 1,
  service: SERVICE,
  maxAttempts: 1,
  public: false,
  sticky: true,
  resumeStreams: false,
  targetGapMs: 250,
};

/** One gateway and one engine in each zone; `route`: what differs of it. */
export async function startFleet({ zones, route = {}, record, atEnd }) {
  const store = new Store(record);
  atEnd(() => store.close());
  store.put("op/config", configuration(route));
  const engines = [];
  for (const zone of zones) {
    const engine = new Engine({
      id: `i-engine-${zone}`,
      service: SERVICE,
      zone,
      answer: streamAnswer(3, 20),
    });
    await engine.start();
    atEnd(() => engine.close());
    store.put(`servers/${engine.id}`, engine.entry);
    engines.push(engine);
  }
  const ports = await freePorts(4 * zones.length);
  const seeds = zones.map((_zone, index) => `127.0.0.1:${ports[4 * index + 2]}`);
  const gateways = [];
  for (const [index, zone] of zones.entries()) {
    const name = `edge-${zone}-1`;
    const gateway = new Gateway({
      name,
      zone,
      zones,
      ports: ports.slice(4 * index, 4 * index + 4),
      storePort: await store.listen(name),
      seeds,
    });
    gateways.push(gateway);
    atEnd(async () => {
      gateway.signal("SIGKILL");
      await gateway.exited;
    });
  }
  atEnd(removeSettings);
  return new Fleet({ store, engines, gateways, record });
}

class Fleet {
  /** What the requesters got. */
  results = [];

  constructor(parts) {
    Object.assign(this, parts);
  }

  /** One tenant sends so many requests a second to each gateway. */
  async flood({ perSecond, duration }) {
    this.record(
      `${TENANT.name} sends ${perSecond} requests a second of ` +
        `${USAGE[0] + USAGE[1]} tokens to each gateway for ${duration} ms`,
    );
    const agents = this.gateways.map(() => keptChannels());
    const pending = [];
    const endsAt = performance.now() + duration;
    while (performance.now() < endsAt) {
      for (const [index, gateway] of this.gateways.entries()) {
        pending.push(this.#sendOne(gateway, agents[index]));
      }
      await sleep(1000 / perSecond);
    }
    await Promise.all(pending);
    for (const agent of agents) agent.destroy();
    for (const { name } of this.gateways) {
      const counts = {};
      for (const { gateway, status, failure } of this.results) {
        if (gateway !== name) continue;
        const kind = status ?? failure;
        counts[kind] = (counts[kind] ?? 0) + 1;
      }
      this.record(`${name} answered: ${JSON.stringify(counts)}`);
    }
  }

  async #sendOne(gateway, agent) {
    const result = await send({
      port: gateway.front,
      agent,
      path: "/pufi791/2f",
      headers: {
        "Host": HOST,
        "Sycamorepulley-Attempt-Id": attemptId(),
        "Sycamorepulley-Model": "m",
        "Sycamorepulley-Token-Usage": USAGE.join(","),
        "Sycamorepulley-Prompt-Prefix": `${attemptId()}:${USAGE[0]}`,
        "Sycamorepulley-Request-Deadline": "12000",
        "Sycamorepulley-Credential": KEY,
      },
      body: Buffer.alloc(200, "x"),
      timeout: 12_000,
    });
    this.results.push({ gateway: gateway.name, ...result });
  }

  /** The rule QUOTA; resolves to why it was broken, if it was. */
  judgeQuota() {
    const { quotaWindowS, quotaOverage, quotaSlack } = BOUNDS;
    const { ratePerS, burstSize } = TENANT;
    const limit = (ratePerS * quotaWindowS + burstSize) * (1 + quotaOverage) +
      quotaSlack;
    const sentAt = new Map(this.results.map(({ id, sentAt }) => [id, sentAt]));
    const runs = this.engines.flatMap((engine) => engine.runs)
      .filter(({ tenant }) => tenant === TENANT.name)
      .map((run) => ({ ...run, sentAt: sentAt.get(run.id) }));
    let most = 0;
    for (const { sentAt: from } of runs) {
      const to = from + quotaWindowS * 1000;
      const tokens = runs
        .filter(({ sentAt, at }) => sentAt >= from && at <= to)
        .reduce((sum, run) => sum + run.tokens, 0);
      most = Math.max(most, tokens);
    }
    this.record(
      `QUOTA: at most ${most} tokens in ${quotaWindowS} s, ` +
        `${limit} are allowed: ${(most / limit).toFixed(3)}`,
    );
    return most > limit
      ? `QUOTA: ${most} tokens in ${quotaWindowS} s, ${limit} are allowed`
      : undefined;
  }
}
