/** Checks services: their tiers, models and routes. @module */
import type { ConfigurationObjects, Route, Service } from "../objects.ts";
import type { Findings } from "./findings.ts";

/** Methods that HTTP clients and load balancers retry on their own. */
const SAFE_METHODS = new Set(["GET", "HEAD"]);

export function checkServices(
  objects: ConfigurationObjects,
  findings: Findings,
): void {
  const tiers = new Set(objects.tiers.map((tier) => tier.name));
  objects.services.forEach((service, index) => {
    findings.addDanglingReference({
      path: ["services", index, "defaultTier"],
      kind: "tier",
      name: service.defaultTier,
      known: tiers,
    });
    checkKind(service, index, findings);
    checkRoutes({ service, index, tiers, findings });
  });
  checkModels(objects, findings);
}

function checkKind(service: Service, index: number, findings: Findings): void {
  if (service.kind === "plain" && service.models.length > 0) {
    findings.add({
      path: ["services", index, "models"],
      detail: "a plain service can't have models",
      mend: 'remove models or set kind to "model"',
    });
  }
  if (service.kind === "model" && service.routes.length > 0) {
    findings.add({
      path: ["services", index, "routes"],
      detail: "a model service has only the route of chat completions",
      mend: 'remove routes or set kind to "plain"',
    });
  }
}

function checkModels(objects: ConfigurationObjects, findings: Findings): void {
  findings.addDuplicates({
    entries: objects.services.flatMap((service, index) =>
      service.models.map((model, position) => ({
        path: ["services", index, "models", position],
        key: model,
        holder: `services/${service.name}`,
      }))
    ),
    what: "the model",
    mend: "list each model in one service only",
  });
}

function checkRoutes(
  options: {
    service: Service;
    index: number;
    tiers: Set<string>;
    findings: Findings;
  },
): void {
  const { service, index, tiers, findings } = options;
  service.routes.forEach((route, position) => {
    const path = ["services", index, "routes", position];
    checkRoute({ route, path, findings });
    if (route.tier !== undefined) {
      findings.addDanglingReference({
        path: [...path, "tier"],
        kind: "tier",
        name: route.tier,
        known: tiers,
      });
    }
  });
  findings.addDuplicates({
    entries: service.routes.map((route, position) => ({
      path: ["services", index, "routes", position, "path"],
      key: `${route.method} ${route.path}`,
    })),
    what: "the method with this path",
    mend: "keep one route for each method and path",
  });
}

function checkRoute(
  options: { route: Route; path: (string | number)[]; findings: Findings },
): void {
  const { route, path, findings } = options;
  if (route.path.slice(0, -1).includes("*")) {
    findings.add({
      path: [...path, "path"],
      detail: '"*" is not at the end',
      mend: 'write an exact path, or a prefix that ends in "*"',
    });
  }
  if (!route.idempotent && SAFE_METHODS.has(route.method)) {
    findings.add({
      path: [...path, "idempotent"],
      detail: `clients retry ${route.method} on their own, so a call ` +
        "that may not run twice can't be protected",
      mend: "serve the call under POST, or set idempotent to true",
    });
  }
}
