/**
 * Opens links: both sides send a hello and validate the other's.
 * @module
 */
import { connect } from "node:net";
import type { Socket } from "node:net";
import Result from "true-myth/result";
import { Link } from "./link.ts";
import { LinkError } from "./link_error.ts";
import { PROTOCOL_VERSION } from "./messages.ts";
import type { HelloMessage, Message } from "./messages.ts";

/** A link on which hellos have been exchanged. */
export type EstablishedLink = {
  link: Link;
  peerHello: HelloMessage;
  /** The peer's messages after the hello. */
  messages: AsyncGenerator<Message, void>;
};

/** Connects to a peer's address and exchanges hellos. */
export async function openLink(
  options: { host: string; port: number; hello: HelloMessage; timeout: number },
): Promise<Result<EstablishedLink, LinkError>> {
  const connected = await connectSocket(options);
  if (connected.isErr) return Result.err(connected.error);
  return await exchangeHellos({ ...options, socket: connected.value });
}

/** Exchanges hellos on a connection that the peer opened. */
export function acceptLink(
  options: { socket: Socket; hello: HelloMessage; timeout: number },
): Promise<Result<EstablishedLink, LinkError>> {
  return exchangeHellos(options);
}

function connectSocket(
  options: { host: string; port: number; timeout: number },
): Promise<Result<Socket, LinkError>> {
  const { host, port, timeout } = options;
  const peer = `${host}:${port}`;
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const fail = (reason: "unreachable" | "timeout", detail: string) => {
      socket.destroy();
      resolve(
        Result.err(new LinkError({ step: "connect", peer, reason, detail })),
      );
    };
    socket.setTimeout(timeout, () => fail("timeout", `after ${timeout} ms`));
    socket.once("error", (error) => fail("unreachable", error.message));
    socket.once("connect", () => {
      socket.setTimeout(0);
      resolve(Result.ok(socket));
    });
  });
}

async function exchangeHellos(
  options: { socket: Socket; hello: HelloMessage; timeout: number },
): Promise<Result<EstablishedLink, LinkError>> {
  const { socket, hello, timeout } = options;
  const link = new Link({ socket });
  link.send(hello);
  // Without a timeout, a peer that sends nothing would keep the link open.
  const helloTimer = setTimeout(() => link.close(), timeout);
  const messages = link.receive();
  try {
    const first = await messages.next();
    const validated = validateHello(link.peer, first.value ?? undefined);
    if (validated.isErr) {
      link.close();
      return Result.err(validated.error);
    }
    return Result.ok({ link, peerHello: validated.value, messages });
  } catch (error) {
    if (!(error instanceof LinkError)) throw error;
    return Result.err(error);
  } finally {
    clearTimeout(helloTimer);
  }
}

function validateHello(
  peer: string,
  message: Message | undefined,
): Result<HelloMessage, LinkError> {
  if (message?.type !== "hello") {
    return Result.err(
      new LinkError({
        step: "hello",
        peer,
        reason: "hello_expected",
        detail: message ? `got ${message.type}` : "connection closed",
      }),
    );
  }
  if (message.protocolVersion !== PROTOCOL_VERSION) {
    return Result.err(
      new LinkError({
        step: "hello",
        peer,
        reason: "protocol_version",
        detail: `peer speaks ${message.protocolVersion}, ` +
          `this process ${PROTOCOL_VERSION}; run one release on both`,
      }),
    );
  }
  return Result.ok(message);
}
