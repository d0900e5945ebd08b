/** Parses values that other processes have stored. @module */
import * as v from "valibot";

/** Returns `undefined` if the value does not match the schema. */
export function parseValue<Schema extends v.GenericSchema>(
  schema: Schema,
  value: string,
): v.InferOutput<Schema> | undefined {
  try {
    return v.parse(schema, JSON.parse(value));
  } catch {
    return undefined;
  }
}
