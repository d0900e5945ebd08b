/** Checks a whole configuration before it is published. @module */
import type { ConfigurationObjects } from "../objects.ts";
import type { Problem } from "../problem.ts";
import type { SourceFile } from "../source_file.ts";
import { checkMoves } from "./check_moves.ts";
import { checkNames } from "./check_names.ts";
import { checkOrganisations } from "./check_organisations.ts";
import { checkServices } from "./check_services.ts";
import { checkTiers } from "./check_tiers.ts";
import { checkVersions } from "./check_versions.ts";
import { Findings } from "./findings.ts";

/** Options of {@link checkObjects}. */
export type CheckOptions = {
  /** Milliseconds since 1970; the deadline of a new move must be later. */
  now: number;
  /**
   * The file that the objects were read from; used for the lines of problems.
   */
  source?: SourceFile;
  /** The published configuration; its moves that are over may stay. */
  before?: ConfigurationObjects;
};

/** Returns all problems; a configuration without any may be published. */
export function checkObjects(
  objects: ConfigurationObjects,
  options: CheckOptions,
): Problem[] {
  const findings = new Findings(objects, options.source);
  checkNames(objects, findings);
  checkTiers(objects, findings);
  checkServices(objects, findings);
  checkOrganisations(objects, findings);
  checkVersions(objects, findings);
  checkMoves(objects, {
    now: options.now,
    before: options.before,
    findings,
  });
  return findings.problems;
}
