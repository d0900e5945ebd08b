/**
 * The version of a service that serves without a bound: that of the last
 * successful roll-out, or the one that all servers have for a while.
 *
 * Until one of both is known, as after the start of this entry, it is assumed
 * to be the version whose servers started first. The target of a roll-out that
 * runs is not assumed to be established while there is another version.
 * @module
 */
import type { ServerRecord } from "../discovery/mod.ts";

/**
 * Milliseconds for which all servers have a version until it is established.
 * The records of others may be missing for a few seconds after an outage.
 */
const SOLE_VERSION_TIME = 10_000;

/** Finds the established version of one service. */
export class EstablishedVersion {
  #version: string | undefined;
  /** Established by a success or as the only version, not merely assumed. */
  #isCertain = false;
  #sole: { version: string; since: number } | undefined;

  /** `undefined` before the first server is known. */
  get version(): string | undefined {
    return this.#version;
  }

  /** Records that a roll-out to this version has succeeded. */
  establish(version: string): void {
    this.#version = version;
    this.#isCertain = true;
  }

  /** Whether it is known, and not merely assumed. */
  get isCertain(): boolean {
    return this.#isCertain;
  }

  /**
   * `target`: of the roll-out that runs, if any; `rejected`: versions that were
   * rolled back.
   */
  update(
    records: readonly ServerRecord[],
    { target, rejected, now }: {
      target: string | undefined;
      rejected: ReadonlySet<string>;
      now: number;
    },
  ): void {
    const startTimes = startTimesByVersion(records);
    for (const version of rejected) startTimes.delete(version);
    if (startTimes.size === 0) {
      if (!this.#isCertain && records.length > 0) this.#version = undefined;
      return;
    }
    this.#updateSole([...startTimes.keys()], now);
    if (this.#sole !== undefined) this.#adoptSole(this.#sole, target, now);
    if (this.#isCertain) return;
    this.#version = versionStartedFirst(startTimes, target);
  }

  #updateSole(versions: readonly string[], now: number): void {
    const [version] = versions;
    if (versions.length !== 1 || version === undefined) this.#sole = undefined;
    else if (this.#sole?.version !== version) {
      this.#sole = { version, since: now };
    }
  }

  #adoptSole(
    sole: { version: string; since: number },
    target: string | undefined,
    now: number,
  ): void {
    if (now - sole.since < SOLE_VERSION_TIME) return;
    if (sole.version === target && sole.version !== this.#version) return;
    this.establish(sole.version);
  }
}

function startTimesByVersion(
  records: readonly ServerRecord[],
): Map<string, number[]> {
  const startTimes = new Map<string, number[]>();
  for (const { version, startedAt } of records) {
    const times = startTimes.get(version);
    if (times === undefined) startTimes.set(version, [startedAt]);
    else times.push(startedAt);
  }
  return startTimes;
}

/**
 * The version with the earliest median start, since servers of any version may
 * start again; that with more servers if several have the same.
 */
function versionStartedFirst(
  startTimes: ReadonlyMap<string, number[]>,
  target: string | undefined,
): string | undefined {
  const versions = [...startTimes].map(([version, times]) => ({
    version,
    isTarget: version === target,
    startedAt: medianOf(times),
    servers: times.length,
  }));
  versions.sort((one, other) =>
    Number(one.isTarget) - Number(other.isTarget) ||
    one.startedAt - other.startedAt ||
    other.servers - one.servers
  );
  return versions[0]?.version;
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
