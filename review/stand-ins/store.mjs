/**
 * Stand-in for the platform's metadata store: linearizable, loses nothing that
 * it has acknowledged. `put` and `remove` write what operators and servers do.
 */
import { createServer } from "node:http";

const PAGE_SIZE = 500;

export class Store {
  #items = new Map();
  #history = [];
  #leases = new Map();
  #revision = 1;
  #nextLease = 1;
  #waiting = new Set();
  #server;
  #timer;

  async listen() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error) => {
        response.writeHead(400).end(String(error));
      });
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    this.#timer = setInterval(() => this.#endLeases(), 50);
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key, value, lease = 0) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#write(key, Buffer.from(text).toString("base64"), lease);
    this.#wake();
    return this.#revision;
  }

  remove(key) {
    this.#delete(key);
    this.#wake();
  }

  get(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, "base64").toString();
  }

  #write(key, value, lease) {
    const revision = ++this.#revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #delete(key) {
    if (!this.#items.delete(key)) return;
    this.#history.push({ key, revision: ++this.#revision, deleted: true });
  }

  #endLeases() {
    const now = performance.now();
    for (const [id, { endsAt }] of this.#leases) {
      if (now >= endsAt) this.#endLease(id);
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const { key, lease } of [...this.#items.values()]) {
      if (lease === id) this.#delete(key);
    }
    this.#wake();
  }

  #wake() {
    for (const check of [...this.#waiting]) check();
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    let text = "";
    for await (const chunk of request) text += chunk;
    const body = text === "" ? {} : JSON.parse(text);
    const reply = (status, value = {}) => {
      if (response.destroyed) return;
      const bytes = JSON.stringify(value);
      response.writeHead(status, { "content-type": "application/json" });
      response.end(bytes);
    };
    const [, name, id] = url.pathname.split("/");
    if (name === "kv-range") return this.#range(query, reply);
    if (name === "kv-key") {
      const item = this.#items.get(query.get("key"));
      return item ? reply(200, { ...item, asOf: this.#revision }) : reply(404);
    }
    if (name === "kv-watch") return this.#watch(query, response, reply);
    if (name === "kv-txn") return this.#transact(body, reply);
    if (name === "kv-lease") {
      const lease = this.#nextLease++;
      const endsAt = performance.now() + body.ttlMs;
      this.#leases.set(lease, { duration: body.ttlMs, endsAt });
      return reply(200, { lease, ttlMs: body.ttlMs });
    }
    if (name === "kv-keep") {
      const lease = this.#leases.get(Number(id));
      if (lease === undefined) return reply(404);
      lease.endsAt = performance.now() + lease.duration;
      return reply(200, { ttlMs: lease.duration });
    }
    if (name === "kv-lease-end") {
      if (!this.#leases.has(Number(id))) return reply(404);
      this.#endLease(Number(id));
      return reply(200);
    }
    return reply(404);
  }

  #range(query, reply) {
    const prefix = query.get("prefix");
    const after = query.get("after") ?? "";
    const all = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1);
    reply(200, {
      items: all.slice(0, PAGE_SIZE),
      hasMore: all.length > PAGE_SIZE,
      asOf: this.#revision,
    });
  }

  #watch(query, response, reply) {
    const prefix = query.get("prefix");
    const after = Number(query.get("after"));
    const events = () =>
      this.#history.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      reply(200, { events: events(), asOf: this.#revision });
    };
    const check = () => events().length > 0 && finish();
    const timer = setTimeout(finish, Number(query.get("waitTimeoutMs")));
    this.#waiting.add(check);
    response.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    check();
  }

  #transact({ expect = [], puts = [], remove = [] }, reply) {
    const items = expect.map(({ key }) =>
      this.#items.get(key) ?? { key, revision: 0 }
    );
    if (expect.some(({ revision }, index) => items[index].revision !== revision)) {
      return reply(412, { items });
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      return reply(404);
    }
    for (const { key, value, lease = 0 } of puts) this.#write(key, value, lease);
    for (const key of remove) this.#delete(key);
    reply(200, { revision: this.#revision });
    this.#wake();
  }
}
