/**
 * Lets a sidecar stop the new version at its own server after a few failed
 * calls. A sidecar sees all calls of its server and none of the old version's,
 * so it can't distinguish a bad version from a fault that affects both: it
 * stops the version for the time being, and the move's driver, which sees both,
 * takes the move back or lets it go on. In a fleet of 330 entries, each entry
 * sees too few calls of a version on trial to stop it within a second.
 *
 * A failure rate of one in twenty is considered normal. Three failures in a row
 * on one route reach the alarm threshold. The lower bound of the evidence
 * prevents a good hour from hiding a bad minute.
 * @module
 */

const NORMAL_FAILURE_RATE = 0.05;
const BAD_FAILURE_RATES = [0.3, 0.6, 0.95] as const;
const ALARM_THRESHOLD = 1000;
const LOWEST_LOG_EVIDENCE = -Math.log(20);

/** Detects failures of one version at one backend server. */
export class VersionFailureDetector {
  readonly #routes = new Map<string, number[]>();
  #failingRoute: string | undefined;

  /** The route whose failures reached the alarm threshold. */
  get failingRoute(): string | undefined {
    return this.#failingRoute;
  }

  /**
   * Records an ended call; `failed` is false if the request was at fault.
   */
  recordCall(route: string, failed: boolean): void {
    const logEvidence = this.#routes.get(route) ??
      BAD_FAILURE_RATES.map(() => 0);
    this.#routes.set(route, logEvidence);
    for (const [index, rate] of BAD_FAILURE_RATES.entries()) {
      const change = failed
        ? Math.log(rate / NORMAL_FAILURE_RATE)
        : Math.log((1 - rate) / (1 - NORMAL_FAILURE_RATE));
      logEvidence[index] = Math.max(
        logEvidence[index]! + change,
        LOWEST_LOG_EVIDENCE,
      );
    }
    const sum = logEvidence.reduce((sum, log) => sum + Math.exp(log), 0);
    if (sum / logEvidence.length >= ALARM_THRESHOLD) {
      this.#failingRoute ??= route;
    }
  }

  /**
   * Clears the evidence and the alarm, as after a failure that affects the old
   * version as well.
   */
  reset(): void {
    this.#failingRoute = undefined;
    this.#routes.clear();
  }
}
