/** Sends one request of a load and times its answer. @module */
import { request } from "undici";
import type { Dispatcher } from "undici";
import { parseJson } from "../server/http_messages.ts";
import type { LoadRequest } from "./load_request.ts";
import type { LoadOutcome } from "./load_results.ts";

/** Never rejects; a failed connection is `broken`. */
export async function sendLoadRequest(
  target: string,
  { method, path, headers, body }: LoadRequest,
  dispatcher: Dispatcher,
): Promise<LoadOutcome> {
  const start = performance.now();
  let firstByte = 0;
  let text = "";
  try {
    const answer = await request(target + path, {
      method,
      headers,
      body,
      dispatcher,
    });
    answer.body.setEncoding("utf8");
    for await (const chunk of answer.body) {
      firstByte ||= performance.now() - start;
      text += chunk;
    }
    const result = resultOf(answer, text);
    return { result, firstByte, total: performance.now() - start };
  } catch {
    return { result: "broken", firstByte, total: performance.now() - start };
  }
}

function resultOf(answer: Dispatcher.ResponseData, text: string): string {
  if (answer.statusCode < 300) {
    return "answered";
  }
  const problem = parseJson(text) as { reason?: unknown } | undefined;
  return typeof problem?.reason === "string"
    ? problem.reason
    : `status ${answer.statusCode}`;
}
