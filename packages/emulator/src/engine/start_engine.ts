/** Starts an emulated engine. @module */
import * as v from "valibot";
import { startBackendServer } from "../server/backend_server.ts";
import type { BackendServer } from "../server/backend_server.ts";
import type { ListenOptions } from "../server/emulated_server.ts";
import { Engine } from "./engine.ts";
import { engineSettingsSchema } from "./engine_settings.ts";
import type { EngineSettingsInput } from "./engine_settings.ts";

/**
 * Starts an engine that serves `POST /v1/chat/completions`, `GET /health` and
 * `GET /load`.
 */
export function startEngine(
  options: ListenOptions & {
    settings?: EngineSettingsInput;
    onCrash?: () => void;
  } = {},
): Promise<BackendServer> {
  const settings = v.parse(engineSettingsSchema, options.settings ?? {});
  return startBackendServer(
    (onCrash) => new Engine(settings, onCrash),
    options,
  );
}
