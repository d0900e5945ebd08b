/** Publishes configuration to an emulated key-value service. @module */
import { publish } from "@sycamorepulley/configuration";
import type { ConfigurationObjects } from "@sycamorepulley/configuration";
import { HttpKeyValueStore } from "@sycamorepulley/store";
import { randomUUID } from "node:crypto";

/** Checks and publishes the configuration; returns its revision. */
export async function publishObjects(
  keyValueStoreUrl: string,
  objects: ConfigurationObjects,
  baseRevision = 0,
): Promise<number> {
  const store = new HttpKeyValueStore({ url: keyValueStoreUrl });
  const published = await publish({
    store,
    objects,
    baseRevision,
    publishId: randomUUID(),
    publishedBy: "testing",
    now: Date.now(),
  });
  await store.close();
  if (published.isErr) {
    throw new Error(
      `configuration was not published: ${JSON.stringify(published.error)}`,
    );
  }
  return published.value.snapshot.revision;
}
