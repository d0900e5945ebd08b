/** Followers of all that a gateway needs from the store. @module */
import { WatchTimeouts } from "@sycamorepulley/decisions";
import type { WatchGroup } from "@sycamorepulley/decisions";
import type { EventLog } from "../observe/event_log.ts";
import type { EraCheckedStore } from "./era_checked_store.ts";
import type { FleetState } from "./fleet_state.ts";
import { decodeMember } from "./member_record.ts";
import { MEMBER_PREFIX } from "./entry_registration.ts";
import type { EntryRegistration } from "./entry_registration.ts";
import { ListenerGroup } from "./listener_group.ts";
import { OperatorListener } from "./operator_listener.ts";
import { PrefixFollower } from "./prefix_follower.ts";
import type { PrefixListener } from "./prefix_follower.ts";
import type { RecordCodec } from "./record_codec.ts";
import type { StoreContact } from "./store_contact.ts";

/**
 * Milliseconds that the store holds a watch of the entry whose turn is first;
 * see `WatchTimeouts`. Shorter watches cost more calls. The store reports a
 * change at once; it is noticed this late only if all connections are silent.
 */
const SHORTEST_WATCH_TIMEOUT = 2000;
/** The same for the keys of entries, which are also connected directly. */
const SHORTEST_MEMBER_WATCH_TIMEOUT = 5000;

/**
 * Follows configuration, backend servers and entries until `signal` is aborted.
 * Returns the follower of the configuration.
 */
export function startStoreFollowers(
  options: {
    store: EraCheckedStore;
    codec: RecordCodec;
    state: FleetState;
    contact: StoreContact;
    log: EventLog;
    signal: AbortSignal;
    clock: () => number;
    registration: EntryRegistration;
    /** Connected entries, which pass on what they read. */
    group: () => WatchGroup;
  },
): PrefixFollower {
  const { store, codec, state, contact, log, signal, clock, group } = options;
  const { registration } = options;
  const startFollower = (
    prefix: string,
    listener: PrefixListener,
    { shortestTimeout, coalesces }: {
      shortestTimeout: number;
      coalesces: boolean;
    },
  ) => {
    const timeouts = new WatchTimeouts(shortestTimeout);
    const watchTimeout = () => timeouts.nextTimeout(group());
    const coalescingDelay = () =>
      coalesces ? timeouts.coalescingDelay(group()) : 0;
    const followerOptions = {
      store,
      prefix,
      listener,
      contact,
      watchTimeout,
      coalescingDelay,
      clock,
    };
    const follower = new PrefixFollower(followerOptions);
    void follower.run(signal);
    return follower;
  };
  const configuration = startFollower(
    codec.operatorPrefix,
    new OperatorListener({ state, codec, log }),
    { shortestTimeout: SHORTEST_WATCH_TIMEOUT, coalesces: false },
  );
  startFollower(codec.serverPrefix, state.serverListener(), {
    shortestTimeout: SHORTEST_WATCH_TIMEOUT,
    coalesces: true,
  });
  startFollower(
    MEMBER_PREFIX,
    new ListenerGroup([
      state.memberListener(MEMBER_PREFIX, decodeMember),
      registration.keyListener(),
    ]),
    {
      shortestTimeout: SHORTEST_MEMBER_WATCH_TIMEOUT,
      coalesces: true,
    },
  );
  return configuration;
}
