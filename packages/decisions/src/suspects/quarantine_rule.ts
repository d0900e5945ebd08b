/**
 * When crashes prove that a request causes them. The rule depends on how
 * suspects are run; see {@link CrashSuspects}.
 * @module
 */

/** Crashes of servers that ran a request, since its last successful run. */
export type CrashHistory = {
  crashes: number;
  /** Of these, crashes in which it was the only suspect at its server. */
  soleSuspectCrashes: number;
  /** No other request ran at the server that crashed last. */
  ranAlone: boolean;
};

/** Decides whether a suspect is quarantined. */
export abstract class QuarantineRule {
  abstract isProven(history: CrashHistory): boolean;
}

/** For suspects that run alone: the second crash proves the cause. */
export class IsolatedRunRule extends QuarantineRule {
  override isProven({ crashes, ranAlone }: CrashHistory): boolean {
    return ranAlone && crashes >= 2;
  }
}

/**
 * For suspects that run beside other requests but not beside other suspects. A
 * server may crash for another reason meanwhile, so one such crash is not
 * enough.
 */
export class SoleSuspectRule extends QuarantineRule {
  override isProven({ crashes, soleSuspectCrashes }: CrashHistory): boolean {
    return crashes >= 3 && soleSuspectCrashes >= 2;
  }
}
