/** How stored values become the gateway's types; one codec for each platform. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { Result } from "true-myth/result";
import type { GatewayConfiguration } from "./gateway_configuration.ts";

/** Where the platform keeps what the gateway follows, and how to read it. */
export abstract class RecordCodec {
  /** Key of the configuration. */
  abstract readonly configurationKey: string;
  /** Prefix of the keys of backend servers. */
  abstract readonly serverPrefix: string;

  /** The error says which part is unreadable. */
  abstract decodeConfiguration(
    value: string,
  ): Result<GatewayConfiguration, string>;

  /** `undefined` for a record that names no server to use. */
  abstract decodeServer(id: string, value: string): ServerRecord | undefined;
}
