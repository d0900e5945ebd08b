/** An instance list whose readers see changes only after a lag. @module */
import type { Instance } from "@sycamorepulley/store";

/** Milliseconds without a heartbeat after which an instance is removed. */
const HEARTBEAT_TIMEOUT = 10_000;

type Change = { visibleAt: number; instance: Instance | undefined };
type ListedInstance = { changes: Change[]; heartbeatAt: number };

/**
 * Reads no clock: the current time and the lags, in milliseconds, are
 * arguments.
 */
export class LaggingInstanceList {
  #listed = new Map<string, ListedInstance>();

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

  /** Returns the instances that a reader sees at the time `now`. */
  list(options: { now: number; leaveLag: number }): Instance[] {
    const visible: Instance[] = [];
    for (const [name, listed] of this.#listed) {
      const instance = this.#visibleInstance(listed, options.now);
      const sinceHeartbeat = options.now - listed.heartbeatAt;
      if (sinceHeartbeat > HEARTBEAT_TIMEOUT + options.leaveLag) {
        this.#listed.delete(name);
      } else if (instance !== undefined) {
        visible.push(instance);
      }
    }
    return visible;
  }

  #visibleInstance(listed: ListedInstance, now: number): Instance | undefined {
    const index = listed.changes.findLastIndex((change) =>
      change.visibleAt <= now
    );
    listed.changes.splice(0, Math.max(0, index));
    const oldest = listed.changes[0];
    return index === -1 ? undefined : oldest?.instance;
  }
}
