// Stand-ins for a review case: the platform's store, engines and gateway
// processes on loopback addresses. Only what the pages describe is served.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import { createServer as createTcpServer, connect } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
/** False: the case runs without its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";
/** Command and template of the deploy file. */
const DEPLOY = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
const [, COMMAND = "node target/gateway.cjs"] = /^run = "(.*)"/m.exec(DEPLOY) ??
  [];
const [, TEMPLATE = "deploy/gateway.jsonc.template"] =
  /^template = "(.*)"/m.exec(DEPLOY) ?? [];
/** Milliseconds after which a case is given up. */
const TIME_LIMIT = 110_000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until `condition` holds; returns false after `ms` milliseconds. */
export async function until(condition, ms) {
  const end = Date.now() + ms;
  while (Date.now() < end) {
    if (await condition()) return true;
    await sleep(20);
  }
  return await condition();
}

/** Lines of `record.txt`: what was sent, answered and run. */
export class Record {
  #lines = [];
  #startedAt = Date.now();
  #path;

  constructor(path) {
    this.#path = path;
  }

  add(text) {
    const at = ((Date.now() - this.#startedAt) / 1000).toFixed(3);
    this.#lines.push(`${at.padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.#path, this.#lines.join("\n") + "\n");
  }
}

/** A free port of a loopback address. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createTcpServer();
    server.once("error", reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The platform's store: items, watches, transactions and leases. */
export class Store {
  items = new Map();
  #events = [];
  #leases = new Map();
  #revision = 1;
  #nextLease = 1;
  #waiting = new Set();
  #server;
  #timer;
  /** Called for each call; may return "drop" to leave it without an answer. */
  onCall = () => {};
  address = "";

  async start(host) {
    this.#server = createHttpServer((request, response) => {
      let body = "";
      request.on("data", (chunk) => body += chunk);
      request.on("end", () => this.#handle(request, response, body));
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    this.#timer = setInterval(() => this.#expire(), 100);
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes as the operator or an engine does. */
  put(key, value, lease = 0) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    const revision = ++this.#revision;
    const item = {
      key,
      value: Buffer.from(text).toString("base64"),
      revision,
      created: this.items.get(key)?.created ?? revision,
      lease,
    };
    this.items.set(key, item);
    this.#publish(item);
    return revision;
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.#publish({ key, revision: ++this.#revision, deleted: true });
  }

  #publish(event) {
    this.#events.push(event);
    for (const waiting of [...this.#waiting]) waiting();
  }

  #expire() {
    const now = Date.now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.#endLease(id);
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const { key, lease } of [...this.items.values()]) {
      if (lease === id) this.remove(key);
    }
  }

  #handle(request, response, body) {
    const url = new URL(request.url, "http://store");
    const verdict = this.onCall({ method: request.method, url, request });
    if (verdict === "drop") return;
    const answer = (status, content) => {
      if (response.destroyed) return;
      const text = JSON.stringify(content);
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    const [, call, argument] = url.pathname.split("/");
    const data = body === "" ? {} : JSON.parse(body);
    switch (call) {
      case "kv-key": {
        const item = this.items.get(url.searchParams.get("key"));
        answer(item ? 200 : 404, { ...item, asOf: this.#revision });
        return;
      }
      case "kv-range":
        answer(200, this.#range(url.searchParams));
        return;
      case "kv-watch":
        this.#watch(url.searchParams, response, answer);
        return;
      case "kv-txn":
        this.#transact(data, answer);
        return;
      case "kv-lease": {
        const id = this.#nextLease++;
        const ttlMs = Math.max(1000, data.ttlMs);
        this.#leases.set(id, { ttlMs, expiresAt: Date.now() + ttlMs });
        answer(200, { lease: id, ttlMs });
        return;
      }
      case "kv-keep": {
        const lease = this.#leases.get(Number(argument));
        if (lease) lease.expiresAt = Date.now() + lease.ttlMs;
        answer(lease ? 200 : 404, {});
        return;
      }
      case "kv-lease-end": {
        const known = this.#leases.has(Number(argument));
        this.#endLease(Number(argument));
        answer(known ? 200 : 404, {});
        return;
      }
      default:
        answer(404, {});
    }
  }

  #range(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1);
    return {
      items: found.slice(0, 500),
      hasMore: found.length > 500,
      asOf: this.#revision,
    };
  }

  #watch(query, response, answer) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const matching = () =>
      this.#events.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      answer(200, { events: matching(), asOf: this.#revision });
    };
    const check = () => {
      if (matching().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get("waitTimeoutMs")));
    response.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    this.#waiting.add(check);
    check();
  }

  #transact({ expect = [], puts = [], remove = [] }, answer) {
    const holds = expect.every(({ key, revision }) =>
      (this.items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = expect.map(({ key }) => this.items.get(key))
        .filter((item) => item !== undefined);
      answer(412, { items });
      return;
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) {
      answer(404, {});
      return;
    }
    for (const { key, value, lease } of puts) {
      this.put(key, Buffer.from(value, "base64").toString(), lease ?? 0);
    }
    for (const key of remove) this.remove(key);
    answer(200, { revision: this.#revision });
  }
}

/** What the platform tells a process on an edge machine, as on the wire page. */
async function settingsFields({ name, host, front, ready, control }, where) {
  const { zone, zones, store, peers } = where;
  const internal = await freePort(host);
  return {
    nodeName: name,
    role: "gateway",
    machineClass: "edge",
    serves: ["edge", "control_plane"],
    ip: host,
    zone,
    region: "wa-coast",
    internalPorts: [internal, internal],
    seedAddrs: peers,
    firstStart: true,
    inTolerance: false,
    discoveryMode: "platform",
    entryPoint: "vip",
    heartbeatMs: 1200,
    contracts: [
      "base", "drain", "config", "cost", "retry", "recover", "engine",
      "stream", "tenants", "quota", "rollout", "platform",
    ],
    zones: Object.fromEntries(zones.map((name) => [name, "wa-coast"])),
    listen: {
      front: `${host}:${front}`,
      ready: `${host}:${ready}`,
      control: `${host}:${control}`,
    },
    limits: {
      cpuShare: 0.513,
      cpuCores: 1,
      memoryMb: 200,
      maxFds: 4100,
      linkMbps: 1000,
      diskMb: 0,
    },
    faultTolerance: { machines: 1, zones: 0, regions: 0 },
    bounds: {
      seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000,
      syncS: 4, drainTimeoutMs: 2000, gracePeriodS: 8, lossSlackMs: 200,
      configApplyMs: 2000, regressionMs: 250, outerMs: 5000,
      strictRevocation: false, revocationMs: 5000, budgetRatio: 0.2,
      budgetWindowS: 10, budgetSlack: 54, quotaWindowS: 8, quotaOverage: 0.1,
      quotaSlack: 140000, exposeShare: 0.1, exposeSlack: 50,
      rollbackMs: 5000, recoverS: 12, passMs: 120, retryAfterS: 8.3,
    },
    platform: {
      address: store,
      form: "kv",
      writesPerS: 400,
      readsPerS: 2000,
      historyS: 20,
      valueBytes: 1048576,
      ttlMinMs: 1000,
    },
  };
}

/** Fills in a settings template as DEPLOY.md says. */
export function fill(template, fields) {
  const find = (path) =>
    path === "."
      ? fields
      : path.split(".").reduce((value, key) => value?.[key], fields);
  const isPresent = (value) =>
    value !== undefined && value !== null && value !== false;
  return template
    .replace(
      /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
      (_, kind, path, inner) =>
        isPresent(find(path)) === (kind === "#") ? fill(inner, fields) : "",
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = find(path);
      if (json) return JSON.stringify(value ?? null);
      if (!isPresent(value)) return value === false ? "false" : "";
      if (Array.isArray(value)) return value.join(",");
      return typeof value === "object" ? JSON.stringify(value) : String(value);
    });
}

/** One gateway process with the command and the settings of the deployment. */
export class Gateway {
  lines = [];
  #child;
  #directory;
  #settings;
  exited = Promise.resolve();

  /** `host`: loopback address of its machine. */
  static async create({ name, host, zone, zones, store, peers = [] }) {
    const gateway = new Gateway();
    gateway.name = name;
    gateway.host = host;
    gateway.front = await freePort(host);
    gateway.ready = await freePort(host);
    gateway.control = await freePort(host);
    gateway.#directory = mkdtempSync(join(tmpdir(), "review-"));
    gateway.#settings = join(gateway.#directory, "gateway.jsonc");
    gateway.fields = await settingsFields(gateway, { zone, zones, store, peers });
    gateway.writeSettings();
    return gateway;
  }

  writeSettings() {
    const template = readFileSync(join(ROOT, TEMPLATE), "utf8");
    writeFileSync(this.#settings, fill(template, this.fields));
  }

  spawn() {
    const { PATH, HOME, LANG } = process.env;
    const [program, ...words] = COMMAND.split(" ");
    const child = spawn(program === "node" ? process.execPath : program, words, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        ...(LANG && { LANG }),
        SYCAMOREPULLEY_BOOT: this.#settings,
        ...(process.env.GATEWAY_LOG && { ROARR_LOG: "true" }),
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    const collect = (chunk) => this.lines.push(String(chunk));
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    this.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => resolve({ code, signal }))
    );
  }

  async isReady() {
    try {
      const url = `http://${this.host}:${this.ready}/readiness`;
      return (await fetch(url)).status === 200;
    } catch {
      return false;
    }
  }

  /** Starts the process and waits until it counts as ready. */
  async start() {
    this.spawn();
    if (!await until(() => this.isReady(), 15_000)) {
      throw new CannotRun(`${this.name} is not ready: ${this.lines.join("")}`);
    }
  }

  get pid() {
    return this.#child?.pid;
  }

  get isRunning() {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  signal(name) {
    if (this.isRunning) this.#child.kill(name);
  }

  async remove() {
    this.signal("SIGKILL");
    await this.exited;
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** The case can't run here: exit status 2. */
export class CannotRun extends Error {}

/**
 * Runs a case: `play` returns why the rule was broken, or `undefined` if it
 * held. Everything in `cleanups` is done at the end.
 */
export async function runCase(directory, play) {
  const record = new Record(join(directory, "record.txt"));
  const cleanups = [];
  const limit = setTimeout(() => finish(2, "time limit of the case"), TIME_LIMIT);
  let isFinished = false;
  async function finish(status, text) {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(limit);
    record.add(text);
    for (const cleanup of cleanups.reverse()) {
      try {
        await cleanup();
      } catch (error) {
        record.add(`clean-up: ${error}`);
      }
    }
    record.write();
    console.log(text);
    process.exit(status);
  }
  record.add(TROUBLE ? "with the disruption" : "without the disruption");
  try {
    const broken = await play({ record, cleanups });
    if (broken === undefined) await finish(0, "the rule held");
    else await finish(1, `the rule was broken: ${broken}`);
  } catch (error) {
    await finish(2, `the case could not run: ${error.stack ?? error}`);
  }
}

/** A raw client: sends bytes, and records what comes and how it ends. */
export class RawClient {
  received = Buffer.alloc(0);
  ended = "open";
  #socket;

  constructor({ host, port, localAddress }) {
    this.#socket = connect({ host, port, localAddress });
    this.#socket.on("data", (chunk) => {
      this.received = Buffer.concat([this.received, chunk]);
    });
    this.#socket.on("end", () => this.ended = "closed");
    this.#socket.on("error", (error) => this.ended = `error ${error.code}`);
    this.closed = new Promise((resolve) => this.#socket.on("close", resolve));
  }

  send(bytes) {
    this.#socket.write(bytes);
  }

  pause() {
    this.#socket.pause();
  }

  resume() {
    this.#socket.resume();
  }

  close() {
    this.#socket.destroy();
  }
}

/** One request; resolves to what its client saw. */
export async function sendRequest(target, head, body = "", timeout = 20_000) {
  const client = new RawClient(target);
  client.send(head + body);
  const timer = setTimeout(() => client.close(), timeout);
  await Promise.race([
    client.closed,
    until(() => isWhole(client.received), timeout),
  ]);
  clearTimeout(timer);
  const { received } = client;
  client.close();
  return parseAnswer(received);
}

/** Whether the bytes hold a whole answer by its own framing. */
export function isWhole(bytes) {
  const { status, headers, body } = parseAnswer(bytes);
  if (status === 0) return false;
  if (headers["content-length"] !== undefined) {
    return body.length >= Number(headers["content-length"]);
  }
  return headers["transfer-encoding"] === "chunked" &&
    body.includes("0\r\n\r\n");
}

export function parseAnswer(bytes) {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return { status: 0, headers: {}, body: Buffer.alloc(0) };
  const [first, ...lines] = bytes.subarray(0, end).toString("latin1")
    .split("\r\n");
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return {
    status: Number(first.split(" ")[1]),
    headers,
    body: bytes.subarray(end + 4),
  };
}

/** Configuration with the routes, services and tenants that a case needs. */
export function configuration(version, { routes, services, tenants = [], limits = {} }) {
  return {
    version,
    routes,
    services,
    tenants,
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 5000,
      ...limits,
    },
  };
}

/** Entry of an engine in the store. */
export function serverEntry({ service, address, zone, slots = 6, born, state = "ready", version = "v1", sequence = 1 }) {
  return {
    service,
    address,
    zone,
    version,
    slots,
    state,
    coldRemainingMs: 0,
    sequence,
    born,
  };
}
