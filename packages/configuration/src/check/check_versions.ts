/** Checks that a service with versions has exactly one live version. @module */
import type { ConfigurationObjects } from "../objects.ts";
import type { Findings } from "./findings.ts";

/** Without a live version there is no destination for a service's requests. */
export function checkVersions(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  const services = new Set(objects.services.map((service) => service.name));
  const live = new Map<string, string>();
  objects.versions.forEach((version, index) => {
    findings.addDanglingReference({
      path: ["versions", index, "service"],
      kind: "service",
      name: version.service,
      known: services,
    });
    const other = live.get(version.service);
    if (version.live && other !== undefined) {
      findings.add({
        path: ["versions", index, "live"],
        detail: `version "${other}" of this service is live too`,
        mend: "leave one live and shift traffic by a move",
      });
    }
    if (version.live) {
      live.set(version.service, version.name);
    }
  });
  checkLiveVersionExists({ objects, live, findings });
}

function checkLiveVersionExists(
  options: {
    objects: ConfigurationObjects;
    live: Map<string, string>;
    findings: Findings;
  },
): void {
  const { objects, live, findings } = options;
  const reported = new Set<string>();
  objects.versions.forEach((version, index) => {
    if (live.has(version.service) || reported.has(version.service)) {
      return;
    }
    reported.add(version.service);
    findings.add({
      path: ["versions", index, "live"],
      detail: `no version of service "${version.service}" is live`,
      mend: "set live to true on the one that gets its traffic",
    });
  });
}
