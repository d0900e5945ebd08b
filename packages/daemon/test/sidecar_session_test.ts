import { acceptLink, PROTOCOL_VERSION } from "@sycamorepulley/protocol";
import type {
  HelloMessage,
  Message,
  ReserveMessage,
} from "@sycamorepulley/protocol";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import t from "tap";
import { Mailbox } from "../src/entry/mailbox.ts";
import type { RequestEvent } from "../src/entry/request_event.ts";
import {
  SessionListener,
  SidecarSession,
} from "../src/entry/sidecar_session.ts";

const hello: HelloMessage = {
  type: "hello",
  protocolVersion: PROTOCOL_VERSION,
  role: "entry",
  instance: "entry-1",
  dataCentre: "one",
  incarnation: "a",
  configurationRevision: 0,
};

const reserve: ReserveMessage = {
  type: "reserve",
  reservation: 1,
  service: "assistant",
  tierRank: 0,
  organisation: "one",
  route: "chat/completions",
  cost: { promptTokens: 1, outputTokens: 1 },
  remaining: 60_000,
};

class IgnoringListener extends SessionListener {
  override onOpen(): void {}
  override onMessage(): void {}
  override onClosed(): void {}
  override onMessageIgnored(): void {}
}

/** Opens a session with a fake sidecar that calls `onMessage` per message. */
async function openSession(
  onMessage: (message: Message, send: (reply: Message) => void) => void,
) {
  const server = createServer(async (socket) => {
    const opened = await acceptLink({
      socket,
      hello: { ...hello, role: "sidecar" },
      timeout: 5000,
    });
    if (opened.isErr) return;
    const { link, messages } = opened.value;
    for await (const message of messages) {
      onMessage(message, (reply) => link.send(reply));
    }
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  const session = new SidecarSession({
    name: "sidecar-1",
    host: "127.0.0.1",
    port: (server.address() as AddressInfo).port,
    createHello: () => hello,
    listener: new IgnoringListener(),
    random: () => 0.5,
  });
  const task = session.run();
  const stop = async () => {
    session.close();
    server.close();
    await task;
  };
  return { session, stop };
}

t.test("a frozen sidecar loses its reservations", async (t) => {
  // Guards against requests that wait for a stopped sidecar until the deadline.
  const { session, stop } = await openSession(() => {});
  const mailbox = new Mailbox<RequestEvent>();
  session.reserve(reserve, mailbox);
  t.same(await mailbox.take(60_000), {
    kind: "linkLost",
    sidecar: "sidecar-1",
  });
  await stop();
});

t.test("a grant that arrives after the withdrawal is declined", async (t) => {
  // Guards against a grant that crosses its withdrawal and holds a slot.
  const received: string[] = [];
  let declined: () => void = () => {};
  const done = new Promise<void>((resolve) => declined = resolve);
  const { session, stop } = await openSession((message, send) => {
    received.push(message.type);
    if (message.type !== "withdraw") return;
    if (received.filter((type) => type === "withdraw").length === 2) {
      return declined();
    }
    send({ type: "grant", reservation: 1, grant: 1, lapse: 250 });
  });
  session.reserve(reserve, new Mailbox<RequestEvent>());
  session.withdraw(1);
  await done;
  t.same(received, ["reserve", "withdraw", "withdraw"]);
  await stop();
});
