/**
 * Finds the addresses of the platform's services in the options, the
 * environment and the settings file.
 * @module
 */
import { readFileSync } from "node:fs";
import { parse } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import * as v from "valibot";
import { UsageError } from "./output/command_result.ts";

const address = v.pipe(
  v.string(),
  v.url("write an address such as http://127.0.0.1:7100"),
);
const addressesSchema = v.strictObject({
  store: v.optional(address),
  instances: v.optional(address),
});

/** Base URLs; absent if not configured. */
export type Addresses = v.InferOutput<typeof addressesSchema>;

/** Options override the environment, which overrides the settings file. */
export function findAddresses(
  options: {
    store?: unknown;
    instances?: unknown;
    settings?: unknown;
    environment: Record<string, string | undefined>;
  },
): Addresses {
  const { environment } = options;
  const file = options.settings ?? environment["SYCAMOREPULLEY_SETTINGS"];
  const settings = file === undefined ? {} : readSettings(String(file));
  const store = options.store ?? environment["SYCAMOREPULLEY_STORE"] ??
    settings.store;
  const instances = options.instances ??
    environment["SYCAMOREPULLEY_INSTANCES"] ?? settings.instances;
  return validateAddresses("the command line or environment", {
    ...(store !== undefined && { store }),
    ...(instances !== undefined && { instances }),
  });
}

function readSettings(file: string): Addresses {
  const errors: ParseError[] = [];
  const value: unknown = parse(readText(file), errors, {
    allowTrailingComma: true,
  });
  if (errors.length > 0) {
    throw new UsageError(`${file} is not JSON with comments; correct it`);
  }
  return validateAddresses(file, value);
}

function validateAddresses(source: string, value: unknown): Addresses {
  const parsed = v.safeParse(addressesSchema, value);
  if (!parsed.success) {
    const issue = parsed.issues[0];
    const field = issue.path?.map((item) => String(item.key)).join(".") ?? "";
    throw new UsageError(`${source}: ${field}: ${issue.message}`);
  }
  return parsed.output;
}

/** Reads a text file; throws a usage error that names the file if it can't. */
export function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown error";
    throw new UsageError(`can't read ${file} (${code}); check the path`);
  }
}
