/** Checks organisations: their services, tiers and credentials. @module */
import type { ConfigurationObjects } from "../objects.ts";
import type { ObjectPath } from "../problem.ts";
import type { Findings } from "./findings.ts";

/**
 * A credential must belong to one organisation only, otherwise callers of
 * different organisations would share an account.
 */
export function checkOrganisations(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  const services = new Set(objects.services.map((service) => service.name));
  const tiers = new Set(objects.tiers.map((tier) => tier.name));
  objects.organisations.forEach((organisation, index) => {
    const path = ["organisations", index];
    checkReferences(findings, {
      path: [...path, "services"],
      kind: "service",
      names: organisation.services,
      known: services,
    });
    checkReferences(findings, {
      path: [...path, "tiers"],
      kind: "tier",
      names: organisation.tiers,
      known: tiers,
    });
  });
  checkCredentials(objects, findings);
}

function checkReferences(
  findings: Findings,
  options: {
    path: ObjectPath;
    kind: string;
    names: string[];
    known: Set<string>;
  },
): void {
  const { path, kind, names, known } = options;
  names.forEach((name, position) => {
    findings.addDanglingReference({
      path: [...path, position],
      kind,
      name,
      known,
    });
  });
  findings.addDuplicates({
    entries: names.map((name, position) => ({
      path: [...path, position],
      key: name,
    })),
    what: `the ${kind}`,
    mend: "name it once",
  });
}

function checkCredentials(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  findings.addDuplicates({
    entries: objects.organisations.flatMap((organisation, index) =>
      organisation.credentials.map((credential, position) => ({
        path: ["organisations", index, "credentials", position],
        key: credential,
        holder: `organisations/${organisation.name}`,
      }))
    ),
    what: "the credential",
    mend: "issue a token of its own to each organisation",
  });
}
