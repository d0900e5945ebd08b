/** Reading requests and writing answers of the emulators. @module */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";

/** Reads a request's whole body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Uint8Array);
  }
  return Buffer.concat(chunks).toString("utf8");
}

/** Parses JSON; `undefined` when the text is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Answers with a JSON document. */
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

/** Sends a truthful length and half of the body, then drops the connection. */
export function sendCutJson(response: ServerResponse, document: unknown): void {
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

/** Runs an asynchronous handler; what it throws becomes status 500. */
export function handle(
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
