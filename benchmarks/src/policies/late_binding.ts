/**
 * The project's policy: its decisions, connected in the same way as in the
 * entry and sidecar processes.
 * @module
 */
import type { Outcome } from "../model/outcome.ts";
import { Entry } from "./entry.ts";
import type { Fleet } from "./fleet.ts";
import type { LateBindingSettings } from "./late_binding_settings.ts";
import { type Caller, Policy } from "./policy.ts";
import { Sidecar } from "./sidecar.ts";

/** Binds requests to engines late, by reservations and grants. */
export class LateBinding extends Policy {
  readonly #entries: Entry[];

  constructor(options: {
    fleet: Fleet;
    caller: Caller;
    settings: LateBindingSettings;
  }) {
    super();
    const { fleet, settings } = options;
    this.#entries = Array.from(
      { length: fleet.deployment.entries },
      (_, index) => new Entry({ ...options, index }),
    );
    const sidecars = fleet.engines.map((_, index) =>
      new Sidecar({ index, fleet, settings, entries: this.#entries })
    );
    for (const entry of this.#entries) entry.sidecars = sidecars;
  }

  override submit(outcome: Outcome): void {
    this.#entries[outcome.request.entry]!.submit(outcome);
  }

  override cancel(outcome: Outcome): void {
    this.#entries[outcome.request.entry]!.cancel(outcome);
  }
}
