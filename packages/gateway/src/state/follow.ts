/** What a gateway follows in the store. @module */
import { WatchTimeouts } from "@sycamorepulley/decisions";
import type { WatchGroup } from "@sycamorepulley/decisions";
import type { MetadataStore } from "@sycamorepulley/store";
import type { FleetState } from "./fleet_state.ts";
import { decodeMember } from "./member_record.ts";
import { MEMBER_PREFIX } from "./membership.ts";
import { PrefixFollower } from "./prefix_follower.ts";
import type { PrefixListener } from "./prefix_follower.ts";
import type { RecordCodec } from "./records.ts";
import type { StoreContact } from "./store_contact.ts";

/**
 * Milliseconds that the store holds a watch of the first entry in turn. Each call
 * has a price; a change is told at once, and only where all connections went
 * silent is it found this late.
 */
const WATCH_WAIT = 2000;
/** The same for entries, whose peers are heard directly as well. */
const MEMBER_WATCH_WAIT = 5000;

/**
 * Follows configuration, backend servers and entries until the signal. The result
 * is the follower of the configuration.
 */
export function follow(
  options: {
    store: MetadataStore;
    codec: RecordCodec;
    state: FleetState;
    contact: StoreContact;
    signal: AbortSignal;
    clock: () => number;
    /** Entries that are heard, and tell what they read. */
    group: () => WatchGroup;
  },
): PrefixFollower {
  const { store, codec, state, contact, signal, clock, group } = options;
  const start = (
    prefix: string,
    listener: PrefixListener,
    { shortest, coalesces }: { shortest: number; coalesces: boolean },
  ) => {
    const turns = new WatchTimeouts(shortest);
    const wait = () => turns.nextTimeout(group());
    const coalescingDelay = () =>
      coalesces ? turns.coalescingDelay(group()) : 0;
    const parts = {
      store,
      prefix,
      listener,
      contact,
      wait,
      coalescingDelay,
      clock,
    };
    const follower = new PrefixFollower(parts);
    void follower.run(signal);
    return follower;
  };
  const configuration = start(
    codec.configurationKey,
    state.configurationListener(),
    { shortest: WATCH_WAIT, coalesces: false },
  );
  start(codec.serverPrefix, state.serverListener(), {
    shortest: WATCH_WAIT,
    coalesces: true,
  });
  start(MEMBER_PREFIX, state.memberListener(MEMBER_PREFIX, decodeMember), {
    shortest: MEMBER_WATCH_WAIT,
    coalesces: true,
  });
  return configuration;
}
