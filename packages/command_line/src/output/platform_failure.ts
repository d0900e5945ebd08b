/** Reports a failed call to a platform service to the operator. @module */
import { describePlatformError } from "@sycamorepulley/store";
import type { PlatformError } from "@sycamorepulley/store";
import { EXIT_CODE } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";

/** Describes the call, what is known of its effect, and what to try. */
export function platformFailure(error: PlatformError): CommandResult {
  return {
    exitCode: EXIT_CODE.unreachable,
    text: [],
    warnings: [
      `${describePlatformError(error)}.`,
      "Check that the address is right (--store, --instances) and try again.",
    ],
    json: { error },
  };
}
