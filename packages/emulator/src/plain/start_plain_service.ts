/** Starts an emulated plain service. @module */
import * as v from "valibot";
import { startBackendServer } from "../server/backend_server.ts";
import type { BackendServer } from "../server/backend_server.ts";
import type { ListenOptions } from "../server/emulated_server.ts";
import { BookingService } from "./booking_service.ts";
import { plainSettingsSchema } from "./plain_settings.ts";
import type { PlainSettingsInput } from "./plain_settings.ts";

/**
 * Starts a service that serves `POST /bookings`, `GET /bookings/:id` and
 * `GET /health`.
 */
export function startPlainService(
  options: ListenOptions & {
    settings?: PlainSettingsInput;
    onCrash?: () => void;
  } = {},
): Promise<BackendServer> {
  const settings = v.parse(plainSettingsSchema, options.settings ?? {});
  return startBackendServer(
    (onCrash) => new BookingService(settings, onCrash),
    options,
  );
}
