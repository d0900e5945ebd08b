/** Reads values that other processes wrote. @module */
import * as v from "valibot";

/** `undefined` when the value is not of the schema. */
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
