/**
 * The rate limit that the sidecar's backend server states in its responses.
 *
 * All requests reach the server through its sidecar, so the sidecar enforces
 * the limit alone.
 * @module
 */
import { parseServerLimit, ServerLimits } from "@sycamorepulley/decisions";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import type { Log } from "../common/log.ts";

/** Key of the sidecar's server, the only one in its limits. */
const SERVER_KEY = "backend server";

/** Tracks the limit from the headers of responses. */
export class StatedServerLimit {
  readonly #limits = new ServerLimits();
  readonly #header: string;
  readonly #instance: string;
  readonly #log: Log;

  /** `header` is the name of the header that states the limit. */
  constructor(options: { header: string; instance: string; log: Log }) {
    this.#header = options.header.toLowerCase();
    this.#instance = options.instance;
    this.#log = options.log;
  }

  /** Requests per second; `undefined` while the server states no limit. */
  get perSecond(): number | undefined {
    return this.#limits.find(SERVER_KEY)?.perSecond;
  }

  /**
   * Reads the limit from the headers of a response, received at `now`, to a
   * request sent at `sentAt` (both monotonic milliseconds). Returns whether the
   * limit changed.
   */
  observe(headers: HttpHeaders, sentAt: number, now: number): boolean {
    const stated = parseServerLimit(headers[this.#header]);
    if (stated.isErr) {
      const { error: value } = stated;
      this.#log.warn("malformed server limit ignored", { value });
      return false;
    }
    const perSecond = stated.value;
    // A response without a limit may be older than one that stated a limit.
    const observedAt = perSecond === undefined ? sentAt : now;
    const observation = {
      perSecond,
      by: this.#instance,
      observedAt,
    };
    if (this.#limits.observe(SERVER_KEY, observation) !== "changed") {
      return false;
    }
    if (perSecond === undefined) this.#log.info("server limit ended");
    else this.#log.info("server limit stated", { perSecond });
    return true;
  }
}
