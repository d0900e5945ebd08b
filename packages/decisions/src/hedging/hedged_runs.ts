/**
 * Decides which run of a request feeds its caller and which one is closed.
 *
 * A silent server may still respond, so its run stays open until another run of
 * the request has sent a part of the response. The run that sends a part first
 * becomes the only one. At a server that can be reached, the first run may be
 * making progress, so that both are open together for a bounded time only.
 * @module
 */

/** What a connection attempt showed of a silent server. */
export type ServerReachability =
  | "reachable"
  /** Nothing listens at its address. */
  | "refused"
  /** The connection attempt timed out. */
  | "unanswered";

/** What follows from an event; `run` is the number of a run. */
export type HedgeAction =
  /** Find out whether the server of the run can be reached. */
  | { kind: "probe"; run: number }
  /** Request a grant of another server. */
  | { kind: "request_grant" }
  /** Withdraw the request for a grant, or the unused grant. */
  | { kind: "withdraw_grant" }
  /** Close a run that another one makes needless. */
  | { kind: "close"; run: number }
  /** No run is open, and none follows. */
  | { kind: "finish" };

export type HedgedRunsOptions = {
  /**
   * Milliseconds after which a caller that receives nothing is about to leave:
   * another server is then used even if the silent one is reachable.
   */
  patience: number;
};

/** The open runs of one request: at most one serves, and one is its hedge. */
export class HedgedRuns {
  readonly #patience: number;
  /** The run that the response depends on. */
  #serving: number | undefined;
  /** The run that was sent because the serving one was silent. */
  #hedge: number | undefined;
  #grant: "none" | "probing" | "requested" | "granted" = "none";

  constructor({ patience }: HedgedRunsOptions) {
    this.#patience = patience;
  }

  /** Number of open runs. */
  get openCount(): number {
    return Number(this.#serving !== undefined) +
      Number(this.#hedge !== undefined);
  }

  /** Whether a run is the one that the response depends on. */
  isServing(run: number): boolean {
    return this.#serving === run;
  }

  /** Records that a run was sent: the first one, or one with its own grant. */
  start(run: number): void {
    this.#grant = "none";
    if (this.#serving === undefined) this.#serving = run;
    else this.#hedge = run;
  }

  /** Records that the server of a run has been silent for too long. */
  recordSilence(run: number): HedgeAction[] {
    const canHedge = run === this.#serving && this.#hedge === undefined;
    if (!canHedge || this.#grant !== "none") return [];
    this.#grant = "probing";
    return [{ kind: "probe", run }];
  }

  /**
   * Records the result of a probe. `waited`: milliseconds since the caller sent
   * its request or received something.
   */
  recordProbe(
    run: number,
    reachability: ServerReachability,
    waited: number,
  ): HedgeAction[] {
    if (run !== this.#serving || this.#grant !== "probing") return [];
    this.#grant = "none";
    if (reachability === "reachable" && waited < this.#patience) return [];
    this.#grant = "requested";
    return [{ kind: "request_grant" }];
  }

  /** Records the grant that was requested. */
  recordGrant(): void {
    if (this.#grant === "requested") this.#grant = "granted";
  }

  /** Records that no grant came, or that the grant can't be used. */
  recordNoGrant(): HedgeAction[] {
    if (this.#grant !== "requested" && this.#grant !== "granted") return [];
    this.#grant = "none";
    return this.openCount === 0 ? [{ kind: "finish" }] : [];
  }

  /** Records that a run has sent a part of the response. */
  recordPart(run: number): HedgeAction[] {
    if (run === this.#hedge) {
      const silent = this.#serving!;
      this.#serving = run;
      this.#hedge = undefined;
      return [{ kind: "close", run: silent }];
    }
    if (run !== this.#serving) return [];
    const actions = this.#stopRequesting();
    if (this.#hedge !== undefined) {
      actions.push({ kind: "close", run: this.#hedge });
      this.#hedge = undefined;
    }
    return actions;
  }

  /** Records that a run has ended without a complete response. */
  recordEnd(run: number): HedgeAction[] {
    if (run === this.#hedge) this.#hedge = undefined;
    if (run !== this.#serving) return [];
    this.#serving = this.#hedge;
    this.#hedge = undefined;
    if (this.#serving !== undefined || this.#grant === "granted") return [];
    return [...this.#stopRequesting(), { kind: "finish" }];
  }

  /**
   * Closes the hedge if neither run has sent a part while both were open, and
   * the silent server can be reached: it may be working on the request.
   */
  endOverlap(hedge: number, reachability: ServerReachability): HedgeAction[] {
    if (hedge !== this.#hedge || this.#serving === undefined) return [];
    if (reachability !== "reachable") return [];
    this.#hedge = undefined;
    return [{ kind: "close", run: hedge }];
  }

  /** Forgets all runs, as the request was cancelled. */
  cancel(): HedgeAction[] {
    const actions = this.#stopRequesting();
    this.#serving = undefined;
    this.#hedge = undefined;
    return [...actions, { kind: "finish" }];
  }

  #stopRequesting(): HedgeAction[] {
    const isRequested = this.#grant === "requested" ||
      this.#grant === "granted";
    this.#grant = "none";
    return isRequested ? [{ kind: "withdraw_grant" }] : [];
  }
}
