/**
 * When crashes prove that a request, or a part of its prompt, causes them. The
 * rule depends on how suspects are run; see {@link CrashSuspects}.
 * @module
 */

/** Crashes of servers under a fingerprint since its last complete run. */
export type CrashHistory = {
  crashes: number;
  /** Of these, crashes in which it was the only suspect at its server. */
  soleSuspectCrashes: number;
  /** No other request ran at the server that crashed last. */
  ranAlone: boolean;
};

/**
 * Crashes under other requests that a prompt part needs in addition: those of
 * one request alone show that the request causes them.
 */
const MINIMUM_OTHER_CRASHES = 2;

/** Decides whether a suspect is quarantined. */
export abstract class QuarantineRule {
  abstract isProven(history: CrashHistory): boolean;

  /**
   * The same for a part of a prompt. `otherCrashes`: those in which another
   * request with the part ran than in the last one.
   */
  isPartProven(history: CrashHistory, otherCrashes: number): boolean {
    return otherCrashes >= MINIMUM_OTHER_CRASHES && this.isProven(history);
  }
}

/** For suspects that run alone: the second crash proves the cause. */
export class IsolatedRunRule extends QuarantineRule {
  override isProven({ crashes, ranAlone }: CrashHistory): boolean {
    return ranAlone && crashes >= 2;
  }
}

/**
 * For suspects that run beside other requests: the third crash proves the cause
 * if the request was the only suspect at its server in one of them. Three
 * servers seldom crash for another reason while they run the same request, and
 * no server runs it to its end in between.
 */
export class SoleSuspectRule extends QuarantineRule {
  override isProven({ crashes, soleSuspectCrashes }: CrashHistory): boolean {
    return crashes >= 3 && soleSuspectCrashes >= 1;
  }
}
