/**
 * An entry's scheduling state for one service: its backend servers, the ejected
 * ones among them, the capacity of its versions, its crash suspects and its
 * retry budget. Nothing is shared between services, so failures of one use up
 * no retry budget of another.
 * @module
 */
import {
  BackendServerSet,
  CrashSuspects,
  OutlierEjection,
  RetryBudget,
} from "@sycamorepulley/decisions";
import { VersionCapacity } from "../moves/version_capacity.ts";

/** Scheduling state of one service at one entry. */
export class ServiceState {
  readonly service: string;
  readonly ejection = new OutlierEjection();
  readonly retryBudget = new RetryBudget();
  readonly suspects = new CrashSuspects();
  readonly versionCapacity = new VersionCapacity();
  readonly servers: BackendServerSet;

  constructor(
    options: {
      service: string;
      entry: string;
      dataCentre: string;
      regionOf: (dataCentre: string) => string;
      /** Whether nothing may be sent to the servers of a data centre. */
      isEvacuated: (dataCentre: string) => boolean;
    },
  ) {
    const { service, entry, dataCentre, regionOf, isEvacuated } = options;
    this.service = service;
    this.servers = new BackendServerSet({
      entry,
      dataCentre,
      regionOf,
      isEvacuated,
      allowed: (name, now) => this.ejection.allowed(name, now),
    });
  }
}
