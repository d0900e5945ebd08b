import t from "tap";
import { request } from "undici";
import { startPlainService } from "../src/mod.ts";

t.test("a booking is created and can be read", async (t) => {
  const service = await startPlainService();
  t.teardown(() => service.close());
  const created = await request(`${service.url}/bookings`, {
    method: "POST",
    headers: { "idempotency-key": "k1" },
    body: JSON.stringify({ slot: "nine", note: "#b1#" }),
  });
  t.equal(created.statusCode, 201);
  const booking = await created.body.json();
  t.match(booking, { id: 1, marker: "b1", details: { slot: "nine" } });
  const read = await request(`${service.url}/bookings/1`);
  t.same(await read.body.json(), booking);
  t.match(service.records, [
    { method: "POST", marker: "b1", idempotencyKey: "k1", outcome: "finished" },
    { method: "GET", path: "/bookings/1" },
  ]);
});

t.test("a booking that is sent twice creates two bookings", async (t) => {
  const service = await startPlainService();
  t.teardown(() => service.close());
  const options = { method: "POST", body: "{}" } as const;
  const ids = [];
  for (let call = 0; call < 2; call++) {
    const response = await request(`${service.url}/bookings`, options);
    ids.push((await response.body.json() as { id: number }).id);
  }
  t.same(ids, [1, 2]);
});

for (const crashShape of ["accepted", "silent"] as const) {
  t.test(`a crashed service whose connections are ${crashShape} responds to nobody`, async (t) => {
    const service = await startPlainService();
    t.teardown(() => service.close());
    service.setFaults({ crashMarkers: ["bad"], crashShape });
    const url = `${service.url}/bookings`;
    const options = { method: "POST", headersTimeout: 200 } as const;
    const crashing = request(url, { ...options, body: '{"note": "#bad#"}' });
    const code = crashShape === "silent"
      ? "UND_ERR_HEADERS_TIMEOUT"
      : "UND_ERR_SOCKET";
    await t.rejects(crashing, { code });
    const later = request(url, { ...options, body: "{}" });
    await t.rejects(later, { code: "UND_ERR_HEADERS_TIMEOUT" });
  });
}
