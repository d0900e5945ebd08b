/** Reading calls and writing answers of an emulated service. @module */
import type { IncomingMessage, ServerResponse } from "node:http";

const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** An answer before it is sent, or lost. */
export type Answer = {
  status: number;
  headers?: Record<string, string>;
  body?: string;
};

/** One call as its handler sees it. */
export type Call = {
  name: string;
  query: URLSearchParams;
  headers: IncomingMessage["headers"];
  body: string;
};

/** Carries a call out. */
export type Handler = (call: Call) => Answer | Promise<Answer>;

/** A request with the parameters of its path. */
export type RoutedRequest = IncomingMessage & {
  params: Record<string, string | string[]>;
};

/** An answer with a JSON body. */
export function json(status: number, body: unknown): Answer {
  return {
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  };
}

/** The value of a JSON text, `undefined` if it is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads the call and has it carried out. */
export async function answerOf(
  request: RoutedRequest,
  handler: Handler,
): Promise<Answer> {
  const body = await readBody(request);
  if (body === undefined) {
    return json(413, { problem: "the body is too large" });
  }
  const url = new URL(request.url ?? "/", "http://localhost");
  const name = decodeURIComponent(String(request.params.name ?? ""));
  return handler({
    name,
    query: url.searchParams,
    headers: request.headers,
    body,
  });
}

/** The whole body, `undefined` when it is over the bound. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += chunk.length;
    if (length <= MAXIMUM_BODY_BYTES) {
      chunks.push(chunk);
    }
  }
  return length > MAXIMUM_BODY_BYTES
    ? undefined
    : Buffer.concat(chunks).toString("utf8");
}

/** Sends the answer unless the caller has gone. */
export function send(response: ServerResponse, answer: Answer): void {
  if (response.destroyed) {
    return;
  }
  response.writeHead(answer.status, answer.headers);
  response.end(answer.body);
}
