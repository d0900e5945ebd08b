/** Decodes stored values; each platform has its own codec. @module */
import type { RolloutOutcome, ServerRecord } from "@sycamorepulley/decisions";
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

/** An order to move a service's traffic to the version `target`. */
export type StoredRollout = {
  service: string;
  target: string;
  /** Milliseconds from the order to its time limit. */
  duration: number;
};

/** What the store holds on the roll-out of a service. */
export type RolloutStatus = { target: string; state: RolloutOutcome };

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
  /**
   * Prefix, below {@link RecordCodec.operatorPrefix}, of the keys of orders to
   * roll out a version; the service's name follows it.
   */
  abstract readonly rolloutPrefix: string;
  /** Prefix of the keys of roll-outs' statuses; the service's name follows. */
  abstract readonly rolloutStatusPrefix: string;
  /** Prefix of the keys of backend servers. */
  abstract readonly serverPrefix: string;

  /** The error says which part can't be decoded. */
  abstract decodeConfiguration(
    value: string,
  ): Result<GatewayConfiguration, string>;

  /** Returns `undefined` for a record that describes no usable server. */
  abstract decodeServer(id: string, value: string): StoredServer | undefined;

  /** The error says which part can't be decoded. */
  abstract decodeRollout(value: string): Result<StoredRollout, string>;

  /** Returns `undefined` for a value that is no status. */
  abstract decodeRolloutStatus(value: string): RolloutStatus | undefined;

  abstract encodeRolloutStatus(status: RolloutStatus): string;
}
