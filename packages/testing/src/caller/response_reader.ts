/**
 * Reads an entry's response and converts it to the outcome of a call.
 * @module
 */
import type { Dispatcher } from "undici";
import type { CallOutcome } from "../history/call_record.ts";
import type { RefusedOutcome } from "../history/call_record.ts";

const END_MARKER = "[DONE]";

/** Reads the response to its end; the outcome of a cut one is `broken`. */
export async function readOutcome(
  response: Dispatcher.ResponseData,
  onFirstBytes: () => void = () => {},
): Promise<CallOutcome> {
  let body = "";
  try {
    response.body.setEncoding("utf8");
    for await (const chunk of response.body) {
      if (body === "") {
        onFirstBytes();
      }
      body += chunk;
    }
  } catch (error) {
    return { type: "broken", detail: String(error), text: body };
  }
  const contentType = String(response.headers["content-type"] ?? "");
  if (contentType.startsWith("application/problem+json")) {
    return parseRefusal(response, body);
  }
  const status = response.statusCode;
  if (contentType.startsWith("text/event-stream")) {
    return { type: "answered", status, ...parseEvents(body) };
  }
  return { type: "answered", status, text: messageContent(body), ended: true };
}

function parseRefusal(
  response: Dispatcher.ResponseData,
  body: string,
): RefusedOutcome {
  const problem = JSON.parse(body) as Pick<RefusedOutcome, "reason" | "ran">;
  const refused: RefusedOutcome = {
    type: "refused",
    status: response.statusCode,
    reason: problem.reason,
    ran: problem.ran,
  };
  const retryAfter = response.headers["retry-after"];
  if (retryAfter !== undefined) {
    refused.retryAfter = Number(retryAfter);
  }
  return refused;
}

function parseEvents(body: string): { text: string; ended: boolean } {
  let text = "";
  let ended = false;
  for (const event of body.split("\n\n")) {
    const data = event.replace(/^data: /, "");
    if (data === END_MARKER) {
      ended = true;
    } else if (data !== "") {
      text += deltaContent(data);
    }
  }
  return { text, ended };
}

function deltaContent(data: string): string {
  try {
    const event = JSON.parse(data) as {
      choices?: { delta?: { content?: string } }[];
    };
    return event.choices?.[0]?.delta?.content ?? "";
  } catch {
    return `(unreadable event: ${data.slice(0, 40)})`;
  }
}

function messageContent(body: string): string {
  try {
    const document = JSON.parse(body) as {
      choices?: { message?: { content?: string } }[];
    };
    return document.choices?.[0]?.message?.content ?? body;
  } catch {
    return body;
  }
}
