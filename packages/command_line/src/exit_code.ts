/** Exit codes of the command line. @module */

/** Exit codes, documented in `--help` and docs/OPERATORS.md. */
export const EXIT_CODE = {
  ok: 0,
  /** Problems found, nothing found, or the fleet not ready and up to date. */
  refused: 1,
  /** The command line was wrong; nothing was tried. */
  usage: 2,
  /** Somebody else published after the base revision; nothing was changed. */
  conflict: 3,
  /** A service or process was unreachable, or an outcome is unknown. */
  unreachable: 4,
} as const;

/** One of {@link EXIT_CODE}. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE];
