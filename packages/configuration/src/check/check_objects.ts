/** The check of the whole set, without which nothing is published. @module */
import type { ConfigurationObjects } from "../objects.ts";
import type { Problem } from "../problem.ts";
import type { Source } from "../source.ts";
import { checkMoves } from "./check_moves.ts";
import { checkNames } from "./check_names.ts";
import { checkOrganisations } from "./check_organisations.ts";
import { checkServices } from "./check_services.ts";
import { checkTiers } from "./check_tiers.ts";
import { checkVersions } from "./check_versions.ts";
import { Findings } from "./findings.ts";

/** What the check needs to know besides the set. */
export type CheckOptions = {
  /** Milliseconds since 1970; deadlines must lie after it. */
  now: number;
  /** Gives problems their lines. */
  source?: Source;
  /** The set in force; its moves that are over may stay. */
  before?: ConfigurationObjects;
};

/** Every problem of the set; an empty list means it may be published. */
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
