/**
 * Lets a sidecar stop the version beside it on its own calls, within a few of
 * them. It sees all calls of its server and none of the old version's, so it
 * cannot tell a bad version from a trouble that both share: it holds back, and
 * the move's driver, who sees both, condemns or releases. An entry at 330
 * entries sees too few calls of a version on trial to stop it within a second.
 *
 * Figures: one failure in twenty is taken for ordinary. Three failures in a row
 * on one route reach the alarm; the floor keeps a good hour from hiding a bad
 * minute.
 * @module
 */

const ORDINARY_SHARE = 0.05;
const BAD_SHARES = [0.3, 0.6, 0.95] as const;
const ALARM = 1000;
const LOWEST_LOG_EVIDENCE = -Math.log(20);

/** Failures of one version at one backend server. */
export class VersionFailureDetector {
  readonly #routes = new Map<string, number[]>();
  #heldFor: string | undefined;

  /** The route whose failures made the sidecar hold back. */
  get failingRoute(): string | undefined {
    return this.#heldFor;
  }

  /** States the end of a call; failures of the request's making don't count. */
  recordCall(route: string, failed: boolean): void {
    const logs = this.#routes.get(route) ?? BAD_SHARES.map(() => 0);
    this.#routes.set(route, logs);
    for (const [index, share] of BAD_SHARES.entries()) {
      const change = failed
        ? Math.log(share / ORDINARY_SHARE)
        : Math.log((1 - share) / (1 - ORDINARY_SHARE));
      logs[index] = Math.max(logs[index]! + change, LOWEST_LOG_EVIDENCE);
    }
    const sum = logs.reduce((sum, log) => sum + Math.exp(log), 0);
    if (sum / logs.length >= ALARM) this.#heldFor ??= route;
  }

  /** Serves again: the driver found that the old version fails as well. */
  reset(): void {
    this.#heldFor = undefined;
    this.#routes.clear();
  }
}
