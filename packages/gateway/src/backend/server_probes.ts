/** Finds out whether silent servers can be reached. @module */
import { incarnationOf } from "@sycamorepulley/decisions";
import type {
  ServerReachability,
  ServerRecord,
} from "@sycamorepulley/decisions";
import { probeAddress } from "./probe_address.ts";

/** Milliseconds for which the result of a probe is used again by default. */
const PROBE_VALIDITY = 300;
/** Milliseconds until a connection attempt counts as unanswered. */
const PROBE_TIMEOUT = 250;

/** The result of a probe, and when the probe ended. */
export type ProbeResult = { reachability: ServerReachability; at: number };

type Probe = { startedAt: number; result: Promise<ProbeResult> };

/** Probes servers; all requests of the process share the results. */
export class ServerProbes {
  readonly #clock: () => number;
  readonly #probes = new Map<string, Probe>();

  constructor(clock: () => number) {
    this.#clock = clock;
  }

  /**
   * Resolves to the result of a probe that was started at most `maximumAge`
   * milliseconds ago.
   */
  probe(
    server: ServerRecord,
    maximumAge = PROBE_VALIDITY,
  ): Promise<ProbeResult> {
    const now = this.#clock();
    const key = incarnationOf(server);
    const recent = this.#probes.get(key);
    if (recent !== undefined && now - recent.startedAt < maximumAge) {
      return recent.result;
    }
    this.#removeExpired(now);
    const result = this.#connect(server);
    this.#probes.set(key, { startedAt: now, result });
    return result;
  }

  async #connect({ host, port }: ServerRecord): Promise<ProbeResult> {
    const timeout = PROBE_TIMEOUT;
    const reachability = await probeAddress({ host, port, timeout });
    return { reachability, at: this.#clock() };
  }

  #removeExpired(now: number): void {
    for (const [key, { startedAt }] of this.#probes) {
      if (now - startedAt >= PROBE_VALIDITY) this.#probes.delete(key);
    }
  }
}
