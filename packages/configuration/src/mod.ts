/**
 * Configuration objects: reading, checking, publishing and following them.
 * @module
 */
export * from "./objects.ts";
export { KINDS, objectIdentity } from "./kinds.ts";
export type { Kind, NamedObject } from "./kinds.ts";
export { describeProblem } from "./problem.ts";
export type { ObjectPath, Problem } from "./problem.ts";
export { SourceFile } from "./source_file.ts";
export { readObjects } from "./read_objects.ts";
export type { ObjectsFile } from "./read_objects.ts";
export { checkObjects } from "./check/check_objects.ts";
export type { CheckOptions } from "./check/check_objects.ts";
export { diffObjects } from "./diff_objects.ts";
export type { FieldChange, ObjectChange } from "./diff_objects.ts";
export { newerSnapshot } from "./snapshot.ts";
export type { Publication, Snapshot } from "./snapshot.ts";
export {
  decodeManifest,
  encodeManifest,
  MANIFEST_KEY,
  publishedSource,
} from "./manifest.ts";
export { nextRevision, publish, readPublished } from "./publish.ts";
export type { PublishOptions, PublishResult } from "./publish.ts";
export type { PublishConflict, PublishError } from "./publish_error.ts";
export { ConfigurationIndex } from "./configuration_index.ts";
export type { MatchedRoute, TierRefusalReason } from "./configuration_index.ts";
export { pollDelay, watchDuration } from "./poll_schedule.ts";
export { ConfigurationFollower } from "./configuration_follower.ts";
export type {
  FollowerCounts,
  FollowerOptions,
} from "./configuration_follower.ts";
