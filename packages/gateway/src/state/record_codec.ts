/** Decodes stored values; each platform has its own codec. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { Result } from "true-myth/result";
import type { GatewayConfiguration } from "./gateway_configuration.ts";

/** Keys and decoders of what the gateway follows in the platform's store. */
export abstract class RecordCodec {
  /** Key of the configuration. */
  abstract readonly configurationKey: string;
  /** Prefix of the keys of backend servers. */
  abstract readonly serverPrefix: string;

  /** The error says which part can't be decoded. */
  abstract decodeConfiguration(
    value: string,
  ): Result<GatewayConfiguration, string>;

  /** Returns `undefined` for a record that describes no usable server. */
  abstract decodeServer(id: string, value: string): ServerRecord | undefined;
}
