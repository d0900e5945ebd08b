/** Naming objects across kinds: `services/assistant`, `versions/assistant/v2`. @module */
import type { ConfigurationObjects } from "./objects.ts";

/** A list of the set. */
export type Kind = keyof ConfigurationObjects;

/** Every kind, in the order in which they are shown. */
export const KINDS: readonly Kind[] = [
  "services",
  "tiers",
  "organisations",
  "versions",
  "moves",
];

/** An object of any kind. */
export type NamedObject = ConfigurationObjects[Kind][number];

/** The one name of an object within the set; a version's includes its service. */
export function objectIdentity(kind: Kind, object: NamedObject): string {
  return kind === "versions" && "service" in object
    ? `${kind}/${object.service}/${object.name}`
    : `${kind}/${object.name}`;
}
