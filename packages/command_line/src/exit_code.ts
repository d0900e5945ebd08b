/** How a run of the command line ended, for scripts. @module */

/** Exit codes; documented in `--help` and docs/OPERATORS.md. */
export const EXIT_CODE = {
  ok: 0,
  /** Problems were found, or what was asked for does not hold. */
  refused: 1,
  /** The command line itself was wrong; nothing was tried. */
  usage: 2,
  /** Somebody published since the base was read; nothing was changed. */
  conflict: 3,
  /** A service or process could not be reached, or an outcome is unknown. */
  unreachable: 4,
} as const;

/** One of {@link EXIT_CODE}. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
