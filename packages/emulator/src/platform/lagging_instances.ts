/** The instance list's view of the fleet, late by a lag. @module */
import type { Instance } from "@sycamorepulley/store";

/** An instance that sends no heartbeat for this long is dropped. */
const SILENCE = 10_000;

type Change = { visibleAt: number; instance: Instance | undefined };
type Listed = { changes: Change[]; heartbeatAt: number };

/** Pure: the present time (milliseconds) and the lags are arguments. */
export class LaggingInstances {
  #listed = new Map<string, Listed>();

  register(instance: Instance, options: { now: number; lag: number }): void {
    const { now, lag } = options;
    const listed = this.#listed.get(instance.name) ??
      { changes: [], heartbeatAt: now };
    this.#listed.set(instance.name, listed);
    listed.heartbeatAt = now;
    const last = listed.changes.at(-1)?.instance;
    if (JSON.stringify(last) !== JSON.stringify(instance)) {
      listed.changes.push({ visibleAt: now + lag, instance });
    }
  }

  deregister(name: string, options: { now: number; lag: number }): void {
    const { now, lag } = options;
    const changes = this.#listed.get(name)?.changes;
    changes?.push({ visibleAt: now + lag, instance: undefined });
  }

  has(name: string): boolean {
    return this.#listed.get(name)?.changes.at(-1)?.instance !== undefined;
  }

  /** What a reader sees at `now`. */
  list(options: { now: number; leaveLag: number }): Instance[] {
    const visible: Instance[] = [];
    for (const [name, listed] of this.#listed) {
      const instance = this.#view(listed, options.now);
      const silentFor = options.now - listed.heartbeatAt;
      if (silentFor > SILENCE + options.leaveLag) {
        this.#listed.delete(name);
      } else if (instance !== undefined) {
        visible.push(instance);
      }
    }
    return visible;
  }

  #view(listed: Listed, now: number): Instance | undefined {
    const index = listed.changes.findLastIndex((change) =>
      change.visibleAt <= now
    );
    listed.changes.splice(0, Math.max(0, index));
    const oldest = listed.changes[0];
    return index === -1 ? undefined : oldest?.instance;
  }
}
