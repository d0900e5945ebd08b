import t from "tap";
import { callerConnections, ConnectionLimit } from "../src/mod.ts";

t.test("a new connection replaces the longest unused one", (t) => {
  const limit = new ConnectionLimit<string>(2);
  t.equal(limit.add("first"), undefined);
  t.equal(limit.add("second"), undefined);
  t.equal(limit.add("third"), "first");
  limit.remove("first");
  t.equal(limit.add("fourth"), "second");
  t.end();
});

t.test("unused connections go before idle ones, and those before requests", (t) => {
  const limit = new ConnectionLimit<string>(3);
  limit.add("receiving");
  limit.recordHead("receiving");
  limit.add("idle");
  limit.recordHead("idle");
  limit.recordRequest("idle");
  limit.recordIdle("idle");
  limit.add("unused");
  for (const closed of ["unused", "idle", "receiving"]) {
    t.equal(limit.add(`instead of ${closed}`), closed);
    limit.remove(closed);
    limit.recordHead(`instead of ${closed}`);
    limit.recordRequest(`instead of ${closed}`);
  }
  t.end();
});

// Guards against requests that are lost for new connections.
t.test("connections with whole requests are kept", (t) => {
  const limit = new ConnectionLimit<string>(1);
  limit.add("serving");
  limit.recordHead("serving");
  limit.recordRequest("serving");
  // Another request that arrives on the same connection.
  limit.recordHead("serving");
  t.equal(limit.add("new"), "new");
  t.end();
});

// Guards against callers without a connection for as long as a crowd stays.
t.test("an ordinary caller is served beside a crowd of connections", (t) => {
  const limit = new ConnectionLimit<number>(100);
  const open = new Set<number>();
  const connect = (connection: number) => {
    open.add(connection);
    const closed = limit.add(connection);
    if (closed === undefined) return;
    open.delete(closed);
    limit.remove(closed);
  };
  for (let connection = 0; connection < 10_000; connection++) {
    connect(connection);
    if (connection % 2 === 0) limit.recordHead(connection);
    if (connection % 100 !== 0) continue;
    const ordinary = -1 - connection;
    connect(ordinary);
    t.ok(open.has(ordinary), `beside ${connection}`);
    limit.recordHead(ordinary);
    limit.recordRequest(ordinary);
    limit.recordIdle(ordinary);
  }
  t.ok(open.size <= 100);
  t.end();
});

t.test("descriptors and memory bound the connections of callers", (t) => {
  t.equal(callerConnections({ descriptors: 4100, memory: 350e6 }), 2925);
  t.equal(callerConnections({ descriptors: 8192, memory: 178e6 }), 2716);
  t.equal(callerConnections({ descriptors: 100, memory: 350e6 }), 16);
  t.end();
});
