/** Starts gateways, engines and requesters of a case, and keeps its record. */
import { fork, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { createServer } from "node:net";
import { request as httpRequest } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

const here = dirname(fileURLToPath(import.meta.url));
const root = join(here, "..", "..");
export const sleep = (time) => new Promise((resolve) => setTimeout(resolve, time));

export const ZONES = ["joondalup", "rockingham", "freo-docks", "guildford"];
/** Bounds of the site swanpolish, as its settings state them. */
const BOUNDS = {
  drainTimeoutMs: 2000,
  gracePeriodS: 8,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 54,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 140000,
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5000,
};
const HEARTBEAT = 1200;

export async function freePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Renders the subset of the template language that the deploy file uses. */
export function render(template, fields) {
  const valueOf = (path) =>
    path.split(".").reduce((value, name) => value?.[name], fields);
  const textOf = (value) =>
    value === undefined || value === null
      ? ""
      : Array.isArray(value)
      ? value.join(",")
      : typeof value === "object"
      ? JSON.stringify(value)
      : String(value);
  return template
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) => {
      const value = valueOf(path);
      return value === undefined || value === false ? "" : inner;
    })
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(valueOf(path) ?? null))
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => textOf(valueOf(path)));
}

export class Case {
  store = new Store();
  gateways = [];
  engines = [];
  startedAt = performance.now();
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #record;
  #timers = new Set();
  #nextAttempt = 1;

  constructor(recordPath) {
    this.#record = openSync(recordPath, "w");
  }

  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  note(text) {
    const line = `${this.now.toFixed(3)} ${text}\n`;
    writeSync(this.#record, line);
  }

  say(text) {
    this.note(text);
    console.log(`${this.now.toFixed(1)} ${text}`);
  }

  async start({ gateways = ZONES.length } = {}) {
    this.storeAddress = await this.store.listen();
    const ports = await freePorts(gateways * 4);
    const addresses = Array.from({ length: gateways }, (_, index) => {
      const [front, ready, control, metrics] = ports.slice(index * 4);
      return { front, ready, control, metrics };
    });
    for (const [index, address] of addresses.entries()) {
      const zone = ZONES[index % ZONES.length];
      const fields = {
        nodeName: `edge-${zone}-${1 + Math.floor(index / ZONES.length)}`,
        ip: "127.0.0.1",
        zone,
        zones: Object.fromEntries(ZONES.map((name) => [name, "wa-coast"])),
        internalPorts: [address.metrics, address.metrics],
        seedAddrs: addresses.slice(0, 3).map(({ control }) => `127.0.0.1:${control}`),
        contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout", "platform"],
        listen: {
          front: `127.0.0.1:${address.front}`,
          ready: `127.0.0.1:${address.ready}`,
          control: `127.0.0.1:${address.control}`,
        },
        limits: { cpuShare: 0.513, cpuCores: 1, memoryMb: 200 },
        bounds: BOUNDS,
        platform: { address: this.storeAddress },
      };
      const template = readFileSync(join(root, "deploy", "gateway.jsonc.template"), "utf8");
      const path = join(this.#folder, `${fields.nodeName}.jsonc`);
      writeFileSync(path, render(template, fields));
      this.gateways.push({ name: fields.nodeName, zone, path, ...address });
    }
    await Promise.all(this.gateways.map((gateway) => this.startGateway(gateway)));
  }

  /** Starts a gateway with the command of the deploy file. */
  async startGateway(gateway) {
    const deploy = readFileSync(join(root, "deploy", "system.toml"), "utf8");
    const [command, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const { PATH, HOME, LANG } = process.env;
    const log = openSync(join(this.#folder, `${gateway.name}.log`), "a");
    const child = spawn(command === "node" ? process.execPath : command, words, {
      cwd: root,
      env: { PATH, HOME, LANG, SYCAMOREPULLEY_BOOT: gateway.path },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    gateway.child = child;
    gateway.exited = once(child, "exit");
    child.once("exit", (code, signal) => {
      this.note(`gateway ${gateway.name} ends, ${signal ?? code}`);
    });
    this.note(`gateway ${gateway.name} starts`);
    while (!await this.isReady(gateway)) {
      if (child.exitCode !== null || child.signalCode !== null) throw new Error(`${gateway.name} has ended`);
      await sleep(50);
    }
    this.note(`gateway ${gateway.name} is ready`);
  }

  isReady({ ready }) {
    return new Promise((resolve) => {
      const request = httpRequest({ host: "127.0.0.1", port: ready, path: "/readiness", agent: false, timeout: 1000 }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
      request.end();
    });
  }

  logOf({ name }) {
    return readFileSync(join(this.#folder, `${name}.log`), "utf8");
  }

  /** Starts an engine, which registers and sends its status at intervals. */
  async startEngine({ id, service, zone, version = "v1", ...settings }) {
    const options = { id, workTime: 20, eventTime: 20, tokensPerEvent: 6, ...settings };
    const child = fork(join(here, "engine.mjs"), [JSON.stringify(options)], { stdio: ["ignore", "inherit", "inherit", "ipc"] });
    const engine = { id, service, zone, version, ...options, child, state: "ready", sequence: 0, exited: once(child, "exit") };
    const [{ port, born }] = await once(child, "message");
    Object.assign(engine, { port, born });
    child.on("message", (message) => this.onEngine?.(engine, message));
    child.once("exit", () => {
      clearInterval(engine.timer);
      this.#timers.delete(engine.timer);
      this.note(`engine ${id} ends`);
    });
    this.engines.push(engine);
    this.report(engine);
    engine.timer = setInterval(() => this.report(engine), HEARTBEAT);
    this.#timers.add(engine.timer);
    this.note(`engine ${id} of ${service} is ready on port ${port}`);
    return engine;
  }

  /** Writes the entry of an engine. */
  report(engine) {
    const { id, service, zone, version, slots, state, port, born } = engine;
    this.store.put(`servers/${id}`, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      sequence: ++engine.sequence,
      born,
    });
  }

  newAttempt() {
    return `a${String(this.#nextAttempt++).padStart(6, "0")}`;
  }

  async end() {
    for (const timer of this.#timers) clearInterval(timer);
    for (const { child } of [...this.gateways, ...this.engines]) {
      if (child?.exitCode === null && child.signalCode === null) child.kill("SIGKILL");
    }
    await Promise.all([...this.gateways, ...this.engines].map(({ exited }) => exited));
    this.store.close();
    if (process.env.KEEP === undefined) rmSync(this.#folder, { recursive: true });
    else console.log(this.#folder);
    closeSync(this.#record);
  }
}

/** Sends one requester attempt on a new channel; resolves to what came back. */
export function send({ port, method = "POST", path, host, headers = {}, body, deadline, agent = false }) {
  return new Promise((resolve) => {
    const chunks = [];
    const request = httpRequest({
      host: "127.0.0.1",
      port,
      method,
      path,
      agent,
      headers: { host, "sycamorepulley-request-deadline": String(deadline), ...headers, ...(body !== undefined && { "content-length": body.length }) },
    });
    const timer = setTimeout(() => request.destroy(new Error("time limit")), deadline);
    let head;
    const finish = (end) => {
      clearTimeout(timer);
      resolve({ status: head?.statusCode, headers: head?.headers, body: Buffer.concat(chunks), end });
    };
    request.on("response", (response) => {
      head = response;
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => finish(response.complete ? "complete" : "cut"));
      response.on("error", (error) => finish(`cut: ${error.code ?? error.message}`));
    });
    request.on("error", (error) => finish(`failed: ${error.code ?? error.message}`));
    request.end(body);
  });
}
