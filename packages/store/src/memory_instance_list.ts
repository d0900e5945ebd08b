/** An in-memory instance list without lag, for tests. @module */
import { Result } from "true-myth/result";
import { InstanceList } from "./instance_list.ts";
import type { Instance } from "./instance_list.ts";
import type { PlatformError } from "./platform_error.ts";

/** Lists an instance as soon as it is registered. */
export class MemoryInstanceList extends InstanceList {
  #instances = new Map<string, Instance>();

  override list(): Promise<Result<Instance[], PlatformError>> {
    return Promise.resolve(Result.ok([...this.#instances.values()]));
  }

  override register(instance: Instance): Promise<Result<void, PlatformError>> {
    this.#instances.set(instance.name, instance);
    return Promise.resolve(Result.ok(undefined));
  }

  override deregister(name: string): Promise<Result<void, PlatformError>> {
    this.#instances.delete(name);
    return Promise.resolve(Result.ok(undefined));
  }
}
