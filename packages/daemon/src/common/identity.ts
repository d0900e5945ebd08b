/** Who this process is, as it tells its peers. @module */
import { randomUUID } from "node:crypto";
import { PROTOCOL_VERSION } from "@sycamorepulley/protocol";
import type { HelloMessage } from "@sycamorepulley/protocol";
import type { Settings } from "./settings.ts";

/**
 * Unique to this start of this process, so that what an earlier start under
 * the same name sent or asked for is never taken for this one's.
 */
export const incarnation = randomUUID();

/** The hello that opens every link of this process. */
export function helloOf(
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
    ...(settings.role === "sidecar" ? backendOf(settings) : {}),
  };
}

function backendOf(
  settings: Settings & { role: "sidecar" },
): { service: string; version?: string } {
  const { service, version } = settings.backendServer;
  return { service, ...(version === undefined ? {} : { version }) };
}
