/** Sends one request of a load and measures its response time. @module */
import { request } from "undici";
import type { Dispatcher } from "undici";
import { parseJson } from "../server/http_messages.ts";
import type { LoadRequest } from "./load_request.ts";
import type { LoadOutcome } from "./load_results.ts";

/** Never rejects; a connection failure gives the result `broken`. */
export async function sendLoadRequest(
  target: string,
  { method, path, headers, body }: LoadRequest,
  dispatcher: Dispatcher,
): Promise<LoadOutcome> {
  const start = performance.now();
  let firstByte = 0;
  let text = "";
  try {
    const response = await request(target + path, {
      method,
      headers,
      body,
      dispatcher,
    });
    response.body.setEncoding("utf8");
    for await (const chunk of response.body) {
      firstByte ||= performance.now() - start;
      text += chunk;
    }
    const result = readResult(response, text);
    return { result, firstByte, total: performance.now() - start };
  } catch {
    return { result: "broken", firstByte, total: performance.now() - start };
  }
}

function readResult(response: Dispatcher.ResponseData, text: string): string {
  if (response.statusCode < 300) {
    return "answered";
  }
  const problem = parseJson(text) as { reason?: unknown } | undefined;
  return typeof problem?.reason === "string"
    ? problem.reason
    : `status ${response.statusCode}`;
}
