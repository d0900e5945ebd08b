/**
 * What an entry knows of one service: its backend servers, who is left out,
 * and what its retries may still cost. Nothing here is shared between
 * services, so one service's trouble spends nothing of another's.
 * @module
 */
import {
  BackendServerSet,
  CrashSuspects,
  OutlierEjection,
  RetryBudget,
} from "@sycamorepulley/decisions";
import { VersionCapacity } from "../moves/version_capacity.ts";

/** Decisions' state for one service at one entry. */
export class ServiceDesk {
  readonly service: string;
  readonly ejection = new OutlierEjection();
  readonly retryBudget = new RetryBudget();
  readonly suspects = new CrashSuspects();
  readonly room = new VersionCapacity();
  readonly servers: BackendServerSet;

  constructor(
    options: {
      service: string;
      entry: string;
      dataCentre: string;
      regionOf: (dataCentre: string) => string;
    },
  ) {
    const { service, entry, dataCentre, regionOf } = options;
    this.service = service;
    this.servers = new BackendServerSet({
      entry,
      dataCentre,
      regionOf,
      allowed: (name, now) => this.ejection.allowed(name, now),
    });
  }
}
