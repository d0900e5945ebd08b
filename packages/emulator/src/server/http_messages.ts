/**
 * Reads the requests and writes the responses of the emulated servers.
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Reads the whole body of a request as UTF-8 text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Parses JSON; returns `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Sends a response with a JSON body. */
export function sendJson(
  response: ServerResponse,
  status: number,
  document: unknown,
): void {
  const body = Buffer.from(JSON.stringify(document));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.end(body);
}

/**
 * Sends the full content length but only half of the body, then closes the
 * connection.
 */
export function sendTruncatedJson(
  response: ServerResponse,
  document: unknown,
): void {
  const body = Buffer.from(JSON.stringify(document));
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": body.length,
  });
  response.write(
    body.subarray(0, body.length >> 1),
    () => response.destroy(),
  );
}

/**
 * Wraps an asynchronous handler. If it fails, the response is a status 500, or
 * is cut if its headers are sent already.
 */
export function toRequestListener(
  handler: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Promise<void>,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    handler(request, response).catch((error: unknown) => {
      if (response.headersSent) {
        response.destroy();
        return;
      }
      sendJson(response, 500, { error: { message: String(error) } });
    });
  };
}
