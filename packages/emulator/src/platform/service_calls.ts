/** Reads the calls and writes the responses of a platform service. @module */
import type { IncomingMessage, ServerResponse } from "node:http";

const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** Response of a call, before it is sent or lost by a fault. */
export type ServiceResponse = {
  status: number;
  headers?: Record<string, string>;
  body?: string;
};

/** One call, as passed to its handler. */
export type ServiceCall = {
  name: string;
  query: URLSearchParams;
  headers: IncomingMessage["headers"];
  body: string;
};

/** Carries out a call and returns its response. */
export type CallHandler = (
  call: ServiceCall,
) => ServiceResponse | Promise<ServiceResponse>;

/** A request with the parameters of its route. */
export type RoutedRequest = IncomingMessage & {
  params: Record<string, string | string[]>;
};

/** Creates a response with a JSON body. */
export function jsonResponse(status: number, body: unknown): ServiceResponse {
  return {
    status,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  };
}

/** Parses JSON; returns `undefined` if the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Reads the call and passes it to its handler. */
export async function handleCall(
  request: RoutedRequest,
  handler: CallHandler,
): Promise<ServiceResponse> {
  const body = await readBody(request);
  if (body === undefined) {
    return jsonResponse(413, { problem: "request body exceeds 1 MiB" });
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

/** Reads the body; returns `undefined` if it exceeds the maximum size. */
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

/** Sends the response unless the caller has disconnected. */
export function sendResponse(
  response: ServerResponse,
  serviceResponse: ServiceResponse,
): void {
  if (response.destroyed) {
    return;
  }
  response.writeHead(serviceResponse.status, serviceResponse.headers);
  response.end(serviceResponse.body);
}
