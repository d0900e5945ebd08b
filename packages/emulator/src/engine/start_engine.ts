/** Starts an emulated engine. @module */
import * as v from "valibot";
import { startBackend } from "../server/backend_server.ts";
import type { BackendServer } from "../server/backend_server.ts";
import type { ListenOptions } from "../server/emulated_server.ts";
import { Engine } from "./engine.ts";
import { engineSettingsSchema } from "./engine_settings.ts";
import type { EngineSettingsInput } from "./engine_settings.ts";

/** Listens with `POST /v1/chat/completions`, `GET /health` and `GET /load`. */
export function startEngine(
  options: ListenOptions & {
    settings?: EngineSettingsInput;
    onCrash?: () => void;
  } = {},
): Promise<BackendServer> {
  const settings = v.parse(engineSettingsSchema, options.settings ?? {});
  return startBackend((crash) => new Engine(settings, crash), options);
}
