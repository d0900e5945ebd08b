/** How this process identifies itself to its peers. @module */
import { randomUUID } from "node:crypto";
import { PROTOCOL_VERSION } from "@sycamorepulley/protocol";
import type { HelloMessage } from "@sycamorepulley/protocol";
import type { Settings } from "./settings.ts";

/**
 * Unique identifier of this run of the process, so that messages and requests
 * of an earlier run under the same instance name are never attributed to it.
 */
export const incarnation = randomUUID();

/** Creates the message that this process sends first on every link. */
export function createHello(
  settings: Settings,
  state: { configurationRevision: number; leaving: boolean },
): HelloMessage {
  const { role, instance, dataCentre } = settings;
  return {
    type: "hello",
    protocolVersion: PROTOCOL_VERSION,
    role,
    instance,
    dataCentre,
    incarnation,
    ...state,
    ...(settings.role === "sidecar" ? backendServerFields(settings) : {}),
  };
}

function backendServerFields(
  settings: Settings & { role: "sidecar" },
): { service: string; version?: string } {
  const { service, version } = settings.backendServer;
  return { service, ...(version === undefined ? {} : { version }) };
}
