/**
 * What a changed settings file changes in a running process: the bounds. What it
 * listens on and is called needs a restart.
 * @module
 */
import type { Result } from "true-myth/result";
import type { GatewaySettings } from "./settings.ts";

/** `detail`: why nothing was taken over, or what needs a restart. */
export type SettingsReload = {
  settings: GatewaySettings;
  changed: boolean;
  detail: string;
};

/** Works out what is in force after a reload; a bad file changes nothing. */
export function settingsAfterReload(
  settings: GatewaySettings,
  read: Result<GatewaySettings, string>,
): SettingsReload {
  if (read.isErr) return { settings, changed: false, detail: read.error };
  const { bounds, ...fixed } = read.value;
  const { bounds: before, ...kept } = settings;
  const restart = JSON.stringify(fixed) !== JSON.stringify(kept);
  const changed = JSON.stringify(bounds) !== JSON.stringify(before);
  return {
    settings: changed ? { ...kept, bounds } : settings,
    changed,
    detail: restart ? "the rest needs a restart" : "",
  };
}
