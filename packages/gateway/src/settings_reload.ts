/**
 * Reload of the settings file in a running process. Only the bounds and
 * the scheduling options take effect; all other settings, such as addresses and
 * names, need a restart.
 * @module
 */
import type { Result } from "true-myth/result";
import type { GatewaySettings } from "./settings.ts";

/** Result of a reload. `detail`: why it failed, or what needs a restart. */
export type SettingsReload = {
  settings: GatewaySettings;
  changed: boolean;
  detail: string;
};

/** Returns the settings after a reload; an unreadable file changes nothing. */
export function settingsAfterReload(
  settings: GatewaySettings,
  read: Result<GatewaySettings, string>,
): SettingsReload {
  if (read.isErr) return { settings, changed: false, detail: read.error };
  const { bounds, scheduling, ...fixedSettings } = read.value;
  const {
    bounds: boundsBefore,
    scheduling: schedulingBefore,
    ...fixedBefore
  } = settings;
  const needsRestart =
    JSON.stringify(fixedSettings) !== JSON.stringify(fixedBefore);
  const changed = JSON.stringify({ bounds, scheduling }) !==
    JSON.stringify({ bounds: boundsBefore, scheduling: schedulingBefore });
  return {
    settings: changed ? { ...fixedBefore, bounds, scheduling } : settings,
    changed,
    detail: needsRestart ? "the rest needs a restart" : "",
  };
}
