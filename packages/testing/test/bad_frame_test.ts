// Guards against a port scan or a frame of 4 GB ending requests on valid links.
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import t from "tap";
import { Fleet, waitFor } from "../src/mod.ts";
import type { DaemonProcess } from "../src/mod.ts";

const BAD_BYTES = {
  "text of another protocol": Buffer.from("GET / HTTP/1.1\r\n\r\n"),
  "a frame of 4 GB": Buffer.from("ffffffff00", "hex"),
  "a frame without a valid message": Buffer.from(
    "00000003" + "a1616101",
    "hex",
  ),
  "a frame of invalid CBOR": Buffer.from("00000004" + "ffffffff", "hex"),
};

const fleet = await Fleet.start({
  entries: 1,
  backends: [{
    kind: "model",
    service: "assistant",
    version: "assistant-1",
    options: { speed: 8 },
  }],
});
t.teardown(() => fleet.kill());
const caller = fleet.caller();

async function linkErrors(daemon: DaemonProcess) {
  const metrics = await daemon.metrics();
  return [...metrics]
    .filter(([name]) => name.startsWith("sycamorepulley_link_errors_total"))
    .reduce((sum, [, value]) => sum + value, 0);
}

async function sendBadBytes(daemon: DaemonProcess, bytes: Uint8Array) {
  const socket = connect(daemon.protocolPort, "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  const peer = `127.0.0.1:${socket.localPort}`;
  socket.write(bytes);
  socket.resume();
  await once(socket, "close");
  return peer;
}

for (const [name, bytes] of Object.entries(BAD_BYTES)) {
  t.test(`${name}: the link is closed, the error is counted and the peer is logged`, async (t) => {
    for (const daemon of [fleet.backends[0]!.sidecar, fleet.entries[0]!]) {
      const before = await linkErrors(daemon);
      const peer = await sendBadBytes(daemon, bytes);
      await waitFor(
        "the error to be counted",
        async () => await linkErrors(daemon) > before,
      );
      await waitFor(
        "the peer to be logged",
        () => daemon.process.output.includes(peer),
      );
      t.notOk(daemon.process.hasExited);
    }
    const marker = name.replaceAll(" ", "-");
    const outcome = await caller.chat({ marker, service: "assistant" });
    t.equal(outcome.type, "answered");
  });
}
