/**
 * The control routes of every emulated backend server: `GET /history`,
 * `GET /faults` and `PUT /faults`.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import type { History } from "../history/history.ts";
import { parseJson, readBody, sendJson } from "../server/http_messages.ts";
import type { FaultInjector } from "./fault_injector.ts";
import { faultsSchema } from "./faults.ts";

/** Responds to a control request; returns false if the request is not one. */
export async function handleControlRequest(
  request: IncomingMessage,
  response: ServerResponse,
  { history, faultInjector }: {
    history: History;
    faultInjector: FaultInjector;
  },
): Promise<boolean> {
  const route = `${request.method} ${request.url}`;
  if (route === "GET /history") {
    sendJson(response, 200, { records: history.records });
    return true;
  }
  if (route === "GET /faults") {
    sendJson(response, 200, faultInjector.faults);
    return true;
  }
  if (route === "PUT /faults") {
    await setFaults(request, response, faultInjector);
    return true;
  }
  return false;
}

async function setFaults(
  request: IncomingMessage,
  response: ServerResponse,
  faultInjector: FaultInjector,
): Promise<void> {
  const parsed = v.safeParse(faultsSchema, parseJson(await readBody(request)));
  if (!parsed.success) {
    sendJson(response, 400, { error: { message: v.summarize(parsed.issues) } });
    return;
  }
  faultInjector.setFaults(parsed.output);
  sendJson(response, 200, faultInjector.faults);
}
