/** Decodes stored values; each platform has its own codec. @module */
import type { ServerRecord } from "@sycamorepulley/decisions";
import type { Result } from "true-myth/result";
import type { GatewayConfiguration } from "./gateway_configuration.ts";

/** A backend server's record as stored. */
export type StoredServer = Omit<ServerRecord, "coldUntil"> & {
  /**
   * Milliseconds for which the server remained cold when it wrote the record;
   * absent if it is not cold.
   */
  coldFor?: number | undefined;
};

/** Keys and decoders of what the gateway follows in the platform's store. */
export abstract class RecordCodec {
  /** Prefix of all keys that operators write. */
  abstract readonly operatorPrefix: string;
  /** Key of the configuration, below {@link RecordCodec.operatorPrefix}. */
  abstract readonly configurationKey: string;
  /**
   * Prefix, below {@link RecordCodec.operatorPrefix}, of the keys of evacuated
   * data centres; the data centre's name follows it.
   */
  abstract readonly evacuationPrefix: string;
  /** Prefix of the keys of backend servers. */
  abstract readonly serverPrefix: string;

  /** The error says which part can't be decoded. */
  abstract decodeConfiguration(
    value: string,
  ): Result<GatewayConfiguration, string>;

  /** Returns `undefined` for a record that describes no usable server. */
  abstract decodeServer(id: string, value: string): StoredServer | undefined;
}
