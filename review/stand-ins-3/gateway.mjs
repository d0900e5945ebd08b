/** Starts gateways with the command and the template of the deploy file. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

const deployFile = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
const COMMAND = /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
const TEMPLATE = readFileSync(
  join(ROOT, /^template = "(.*)"$/m.exec(deployFile)[1]),
  "utf8",
);
const folder = mkdtempSync(join(tmpdir(), "review-"));

/** Removes the settings files. */
export function removeSettings() {
  rmSync(folder, { recursive: true, force: true });
}

/** The bounds of a small deployment, as the platform's pages give them. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackTimeoutMs: 4000,
  syncS: 4,
  drainTimeoutMs: 2000,
  gracePeriodS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  regressionMs: 250,
  outerMs: 5000,
  strictRevocation: false,
  revocationMs: 5000,
  budgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 56,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 140000,
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5000,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 10,
};

/** Returns free ports of the loopback address. */
export async function freePorts(count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

export class Gateway {
  /** `storePort`: its address of the store; `seeds`: control addresses. */
  constructor({ name, zone, ports, storePort, seeds, zones }) {
    this.name = name;
    this.zone = zone;
    const [front, ready, control, metrics] = ports;
    this.front = front;
    this.ready = ready;
    this.settings = join(folder, `${name}.jsonc`);
    this.output = "";
    const fields = {
      nodeName: name,
      zone,
      ip: "127.0.0.1",
      internalPorts: [metrics, metrics],
      seedAddrs: seeds,
      zones: Object.fromEntries(zones.map((zone) => [zone, "region"])),
      contracts: [
        "base", "drain", "config", "cost", "retry", "recover", "engine",
        "stream", "tenants", "quota", "rollout", "platform",
      ],
      listen: {
        front: `127.0.0.1:${front}`,
        ready: `127.0.0.1:${ready}`,
        control: `127.0.0.1:${control}`,
      },
      limits: { cpuShare: 0.513, cpuCores: 1, memoryMb: 350, maxFds: 4200 },
      bounds: BOUNDS,
      platform: { address: `127.0.0.1:${storePort}` },
    };
    writeFileSync(this.settings, render(TEMPLATE, fields));
  }

  start() {
    const [program, ...words] = COMMAND;
    this.process = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: "C.UTF-8",
        SYCAMOREPULLEY_BOOT: this.settings,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const keep = (chunk) => {
      this.output = (this.output + chunk).slice(-2_000_000);
    };
    this.process.stdout.on("data", keep);
    this.process.stderr.on("data", keep);
    const child = this.process;
    this.exited = new Promise((resolve) =>
      child.once("exit", (code, signal) => resolve({ code, signal }))
    );
  }

  signal(name) {
    this.process?.kill(name);
  }

  async isReady() {
    try {
      const response = await fetch(`http://127.0.0.1:${this.ready}/readiness`);
      await response.arrayBuffer();
      return response.status === 200;
    } catch {
      return false;
    }
  }
}

/** Fills in a template as the platform does. */
function render(text, fields) {
  const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
  return text
    .replace(section, (_all, kind, path, inner) => {
      const value = lookUp(fields, path);
      const isPresent = value !== undefined && value !== false;
      return isPresent === (kind === "#") ? inner : "";
    })
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
      const value = lookUp(fields, path);
      if (json) return JSON.stringify(value);
      return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

function lookUp(fields, path) {
  return path.split(".").reduce((value, name) => value?.[name], fields);
}
