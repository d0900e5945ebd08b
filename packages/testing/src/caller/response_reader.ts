/** Reads an entry's answer into a call's outcome. @module */
import type { Dispatcher } from "undici";
import type { CallOutcome } from "../history/call_record.ts";
import type { Refused } from "../history/call_record.ts";

const END_MARKER = "[DONE]";

/** Reads the answer to its end; a cut answer becomes `broken`. */
export async function readOutcome(
  response: Dispatcher.ResponseData,
  onFirstBytes: () => void = () => {},
): Promise<CallOutcome> {
  let raw = "";
  try {
    response.body.setEncoding("utf8");
    for await (const chunk of response.body) {
      if (raw === "") {
        onFirstBytes();
      }
      raw += chunk;
    }
  } catch (error) {
    return { type: "broken", detail: String(error), text: raw };
  }
  const contentType = String(response.headers["content-type"] ?? "");
  if (contentType.startsWith("application/problem+json")) {
    return refusal(response, raw);
  }
  const status = response.statusCode;
  if (contentType.startsWith("text/event-stream")) {
    return { type: "answered", status, ...readEvents(raw) };
  }
  return { type: "answered", status, text: contentOf(raw), ended: true };
}

function refusal(response: Dispatcher.ResponseData, raw: string): Refused {
  const problem = JSON.parse(raw) as Pick<Refused, "reason" | "ran">;
  const refused: Refused = {
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

function readEvents(raw: string): { text: string; ended: boolean } {
  let text = "";
  let ended = false;
  for (const event of raw.split("\n\n")) {
    const data = event.replace(/^data: /, "");
    if (data === END_MARKER) {
      ended = true;
    } else if (data !== "") {
      text += deltaOf(data);
    }
  }
  return { text, ended };
}

function deltaOf(data: string): string {
  try {
    const event = JSON.parse(data) as {
      choices?: { delta?: { content?: string } }[];
    };
    return event.choices?.[0]?.delta?.content ?? "";
  } catch {
    return `(unreadable event: ${data.slice(0, 40)})`;
  }
}

function contentOf(raw: string): string {
  try {
    const document = JSON.parse(raw) as {
      choices?: { message?: { content?: string } }[];
    };
    return document.choices?.[0]?.message?.content ?? raw;
  } catch {
    return raw;
  }
}
