/**
 * Kinds of configuration objects, and the identity of an object across kinds,
 * such as `services/assistant` or `versions/assistant/v2`.
 * @module
 */
import type { ConfigurationObjects } from "./objects.ts";

/** Name of a list in {@link ConfigurationObjects}. */
export type Kind = keyof ConfigurationObjects;

/** Every kind, in the order in which they are printed. */
export const KINDS: readonly Kind[] = [
  "services",
  "tiers",
  "organisations",
  "versions",
  "moves",
  "evacuations",
];

/** A configuration object of any kind. */
export type NamedObject = ConfigurationObjects[Kind][number];

/**
 * Name of an object that is unique over all kinds. Versions of two services may
 * have the same name, so a version's identity includes its service.
 */
export function objectIdentity(kind: Kind, object: NamedObject): string {
  return kind === "versions" && "service" in object
    ? `${kind}/${object.service}/${object.name}`
    : `${kind}/${object.name}`;
}
