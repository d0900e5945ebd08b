/** `GET /history`, `GET /faults` and `PUT /faults` of every emulated server. @module */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import type { History } from "../history/history.ts";
import { parseJson, readText, sendJson } from "../server/http_messages.ts";
import type { FaultSwitch } from "./fault_switch.ts";
import { faultsSchema } from "./faults.ts";

/** Answers a control request; `false` when it is none. */
export async function answerControl(
  request: IncomingMessage,
  response: ServerResponse,
  { history, faultSwitch }: { history: History; faultSwitch: FaultSwitch },
): Promise<boolean> {
  const route = `${request.method} ${request.url}`;
  if (route === "GET /history") {
    sendJson(response, 200, { records: history.records });
    return true;
  }
  if (route === "GET /faults") {
    sendJson(response, 200, faultSwitch.faults);
    return true;
  }
  if (route === "PUT /faults") {
    await setFaults(request, response, faultSwitch);
    return true;
  }
  return false;
}

async function setFaults(
  request: IncomingMessage,
  response: ServerResponse,
  faultSwitch: FaultSwitch,
): Promise<void> {
  const parsed = v.safeParse(faultsSchema, parseJson(await readText(request)));
  if (!parsed.success) {
    sendJson(response, 400, { error: { message: v.summarize(parsed.issues) } });
    return;
  }
  faultSwitch.set(parsed.output);
  sendJson(response, 200, faultSwitch.faults);
}
