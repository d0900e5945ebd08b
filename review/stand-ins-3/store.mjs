/**
 * Stand-in for the platform's metadata store. Each machine of the system has
 * its own address of the store, so that the store can tell who calls.
 */
import { createServer } from "node:http";

/** Milliseconds between checks for leases that have run out. */
const LEASE_CHECK_INTERVAL = 20;
const PAGE_ITEMS = 500;

export class Store {
  revision = 1;
  /** Items by key. */
  items = new Map();
  /** All changes, oldest first. */
  history = [];
  /** Ends of leases in milliseconds, by id. */
  leases = new Map();
  nextLease = 1000;
  watches = new Set();
  /** Machines whose calls are answered 503. */
  turnedAway = new Set();
  /** Milliseconds until the next write of a machine is executed, unanswered. */
  lateWrites = new Map();
  servers = [];

  /** `onEvent` is called with a line for the record. */
  constructor(onEvent) {
    this.onEvent = onEvent;
    this.timer = setInterval(() => this.expireLeases(), LEASE_CHECK_INTERVAL);
  }

  /** Starts an address for a machine, and returns its port. */
  listen(machine) {
    const server = createServer((request, response) => {
      let body = "";
      request.on("data", (chunk) => body += chunk);
      request.on("end", () => this.handle(machine, request, body, response));
    });
    server.keepAliveTimeout = 60_000;
    this.servers.push(server);
    return new Promise((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve(server.address().port))
    );
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Turns the calls of a machine away from now on, also those that wait. */
  turnAway(machine) {
    this.turnedAway.add(machine);
    for (const watch of [...this.watches]) {
      if (watch.machine !== machine) continue;
      this.watches.delete(watch);
      clearTimeout(watch.timer);
      answer(watch.response, 503, {});
    }
  }

  serveAgain(machine) {
    this.turnedAway.delete(machine);
  }

  /** A write of the operator or of an engine. */
  put(key, value) {
    return this.commit([{ key, value: encode(value), lease: 0 }], []);
  }

  keys(prefix) {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  handle(machine, request, body, response) {
    if (this.turnedAway.has(machine)) return answer(response, 503, {});
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const input = body === "" ? {} : JSON.parse(body);
    const id = Number(pathname.split("/")[2]);
    switch (pathname.split("/")[1]) {
      case "kv-key": {
        const item = this.items.get(searchParams.get("key"));
        return answer(response, item ? 200 : 404, item ?? {});
      }
      case "kv-range":
        return answer(response, 200, this.range(searchParams));
      case "kv-watch":
        return this.watch(machine, searchParams, response);
      case "kv-txn":
        return this.write(machine, input, response);
      case "kv-lease": {
        const lease = this.nextLease++;
        const ttlMs = Math.max(1000, input.ttlMs);
        this.leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
        return answer(response, 200, { lease, ttlMs });
      }
      case "kv-keep": {
        const lease = this.leases.get(id);
        if (lease === undefined) return answer(response, 404, {});
        lease.endsAt = performance.now() + lease.ttlMs;
        return answer(response, 200, { lease: id, ttlMs: lease.ttlMs });
      }
      case "kv-lease-end":
        if (!this.leases.has(id)) return answer(response, 404, {});
        this.endLease(id);
        return answer(response, 200, {});
      default:
        return answer(response, 404, {});
    }
  }

  range(searchParams) {
    const prefix = searchParams.get("prefix") ?? "";
    const after = searchParams.get("after") ?? "";
    const keys = this.keys(prefix).filter((key) => key > after);
    return {
      items: keys.slice(0, PAGE_ITEMS).map((key) => this.items.get(key)),
      hasMore: keys.length > PAGE_ITEMS,
      asOf: this.revision,
    };
  }

  watch(machine, searchParams, response) {
    const watch = {
      machine,
      response,
      prefix: searchParams.get("prefix") ?? "",
      after: Number(searchParams.get("after")),
    };
    if (this.answerWatch(watch)) return;
    this.watches.add(watch);
    watch.timer = setTimeout(() => {
      this.watches.delete(watch);
      answer(response, 200, { events: [], asOf: this.revision });
    }, Number(searchParams.get("waitTimeoutMs")));
    response.once("close", () => {
      clearTimeout(watch.timer);
      this.watches.delete(watch);
    });
  }

  answerWatch(watch) {
    const events = this.history.filter(({ key, revision }) =>
      revision > watch.after && key.startsWith(watch.prefix)
    );
    if (events.length === 0) return false;
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    answer(watch.response, 200, { events, asOf: this.revision });
    return true;
  }

  write(machine, input, response) {
    const delay = this.lateWrites.get(machine);
    if (delay === undefined) return this.execute(input, response);
    // The answer is lost, and the write is executed later if its condition
    // holds then. The channel returns nothing further.
    this.lateWrites.delete(machine);
    const keys = (input.puts ?? []).map(({ key }) => key).join(" ");
    this.onEvent(`the answer to ${machine}'s write of ${keys} is lost`);
    setTimeout(() => {
      const executed = this.execute(input, undefined);
      this.onEvent(
        `${machine}'s write of ${keys} is executed now: ${executed}`,
      );
    }, delay);
  }

  execute({ expect = [], puts = [], remove = [] }, response) {
    const current = expect.map(({ key }) => this.items.get(key));
    const holds = expect.every(({ key, revision }) =>
      (this.items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      answer(response, 412, { items: current.filter(Boolean) });
      return "condition does not hold";
    }
    if (puts.some(({ lease }) => lease && !this.leases.has(lease))) {
      answer(response, 404, {});
      return "no such lease";
    }
    const keys = [...puts.map(({ key }) => key), ...remove];
    if (keys.some((key) => /^(op|servers)\//.test(key))) {
      answer(response, 403, {});
      return "forbidden";
    }
    answer(response, 200, { revision: this.commit(puts, remove) });
    return "done";
  }

  commit(puts, removals) {
    const revision = ++this.revision;
    for (const { key, value, lease = 0 } of puts) {
      const created = this.items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.items.set(key, item);
      this.history.push(item);
    }
    for (const key of removals) {
      if (!this.items.delete(key)) continue;
      this.history.push({ key, revision, deleted: true });
    }
    for (const watch of [...this.watches]) this.answerWatch(watch);
    return revision;
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, { endsAt }] of [...this.leases]) {
      if (endsAt <= now) this.endLease(id);
    }
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.items.values()]
      .filter(({ lease }) => lease === id).map(({ key }) => key);
    if (keys.length === 0) return;
    this.onEvent(`lease ${id} has ended, removed: ${keys.join(" ")}`);
    this.commit([], keys);
  }
}

function encode(value) {
  return Buffer.from(JSON.stringify(value)).toString("base64");
}

function answer(response, status, body) {
  if (response === undefined || response.destroyed) return;
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
