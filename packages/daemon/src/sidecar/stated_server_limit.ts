/**
 * The limit that the backend server beside a sidecar states in its answers.
 *
 * The sidecar is the only way to its server, so it alone keeps to the limit.
 * @module
 */
import { parseServerLimit, ServerLimits } from "@sycamorepulley/decisions";
import type { HttpHeaders } from "@sycamorepulley/protocol";
import type { Log } from "../common/log.ts";

/** Its server is the only one that a sidecar knows. */
const SERVER = "beside";

/** See the module. */
export class StatedServerLimit {
  readonly #limits = new ServerLimits();
  readonly #header: string;
  readonly #instance: string;
  readonly #log: Log;

  /** `header` holds the limit. */
  constructor(options: { header: string; instance: string; log: Log }) {
    this.#header = options.header.toLowerCase();
    this.#instance = options.instance;
    this.#log = options.log;
  }

  /** Requests a second; `undefined` while the server states none. */
  get perSecond(): number | undefined {
    return this.#limits.find(SERVER)?.perSecond;
  }

  /** Takes the headers of an answer to a request sent at `sentAt`; true if news. */
  heard(headers: HttpHeaders, sentAt: number, now: number): boolean {
    const stated = parseServerLimit(headers[this.#header]);
    if (stated.isErr) {
      const { error: value } = stated;
      this.#log.warn("malformed server limit ignored", { value });
      return false;
    }
    const perSecond = stated.value;
    const observedAt = perSecond === undefined ? sentAt : now;
    const observation = {
      perSecond,
      by: this.#instance,
      observedAt,
    };
    if (this.#limits.observe(SERVER, observation) !== "changed") return false;
    if (perSecond === undefined) this.#log.info("server limit ended");
    else this.#log.info("server limit stated", { perSecond });
    return true;
  }
}
